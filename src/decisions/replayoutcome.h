#pragma once

#include <limits>
#include <string>

namespace guavavalve {

/// An outcome that a trace expects, with the value that the replay gave.
struct ReplayOutcome
{
    std::string measure; ///< a key of ReplayReport::measures
    double atLeast = std::numeric_limits<double>::lowest();
    double atMost = std::numeric_limits<double>::max();
    double value = 0.0;

    bool met() const { return this->value >= this->atLeast && this->value <= this->atMost; }
};

} // namespace guavavalve
