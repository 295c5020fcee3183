#include "schema/problem.h"

namespace guavavalve {

std::string Problem::text() const
{
    const std::string where = this->path.empty() ? "document" : this->path;
    return where + ": found " + this->found + ", allowed: " + this->allowed;
}

std::string problemsText(const std::string &document, const std::vector<Problem> &problems)
{
    std::string text =
        document + " has " + std::to_string(problems.size()) + " problem(s), nothing was applied";
    for (const Problem &problem : problems)
        text += "\n  " + problem.text();
    return text;
}

} // namespace guavavalve
