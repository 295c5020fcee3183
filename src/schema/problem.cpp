#include "schema/problem.h"

namespace guavavalve {
namespace internal {

namespace {

/// A document made of faults must not make an answer, or what is kept of it, without bounds.
constexpr std::size_t mostShownProblems = 50;
constexpr std::size_t longestShownProblem = 400;

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
        if (++shown > internal::mostShownProblems)
            return text + "\n  and more";
        text += "\n  " + problem.text().substr(0, internal::longestShownProblem);
    }
    return text;
}

} // namespace guavavalve
