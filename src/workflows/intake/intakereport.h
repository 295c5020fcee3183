#pragma once

#include "workflows/intake/intakedecision.h"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>

namespace guavavalve::workflows {

/// Refusals of about a second, by queue, account and cause.
struct IntakeReport
{
    using Key = std::tuple<std::string, std::string, IntakeCause>;

    std::map<Key, std::size_t> refused;

    bool isEmpty() const { return this->refused.empty(); }
};

} // namespace guavavalve::workflows
