#pragma once

#include <string>
#include <vector>

namespace guavavalve {

/// One fault of a JSON document, for the person who wrote it.
struct Problem
{
    std::string path; ///< in the document: "election.timeoutMs"; empty: the whole
    std::string found;
    std::string allowed;

    /// One line: path, what was found, what is allowed.
    std::string text() const;
};

/// The first 50 of \a problems, one a line, below a line that counts them all.
std::string problemsText(const std::string &document, const std::vector<Problem> &problems);

} // namespace guavavalve
