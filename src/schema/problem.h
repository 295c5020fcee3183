#pragma once

#include <string>
#include <vector>

namespace guavavalve {

/// A problem in a JSON document, described for the author of the document.
struct Problem
{
    std::string path; ///< in the document: "election.timeoutMs"; empty: the whole document
    std::string found;
    std::string allowed;

    /// One line: path, what was found, what is allowed.
    std::string text() const;
};

/// A line with the number of \a problems, and below it the first 50, one per line.
std::string problemsText(const std::string &document, const std::vector<Problem> &problems);

} // namespace guavavalve
