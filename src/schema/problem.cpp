#include "schema/problem.h"

namespace guavavalve {
namespace internal {

namespace {

/// These bound the size of an answer, and of what is stored of it, for a document full of problems.
constexpr std::size_t maxShownProblems = 50;
constexpr std::size_t maxProblemLength = 400;

} // namespace

} // namespace internal

std::string Problem::text() const
{
    const std::string where = this->path.empty() ? "document" : this->path;
    return where + ": found " + this->found + ", allowed: " + this->allowed;
}

std::string problemsText(const std::string &document, const std::vector<Problem> &problems)
{
    std::string text =
        document + ": " + std::to_string(problems.size()) + " problem(s), nothing was applied";
    std::size_t shown = 0;
    for (const Problem &problem : problems) {
        if (++shown > internal::maxShownProblems)
            return text + "\n  and more";
        text += "\n  " + problem.text().substr(0, internal::maxProblemLength);
    }
    return text;
}

} // namespace guavavalve
