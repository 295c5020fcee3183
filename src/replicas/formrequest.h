#pragma once

#include "journal/logentry.h"

#include <cereal/types/optional.hpp>

#include <optional>

namespace guavavalve {

/// Tells a voter that has heard of no formation yet that it belongs to the sender's.
struct FormRequest
{
    /// The group's first entry, the list of its first members, if the sender still has it.
    std::optional<LogEntry> first;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->first);
    }
};

} // namespace guavavalve
