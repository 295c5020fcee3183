#pragma once

#include "journal/logentry.h"

#include <cereal/types/optional.hpp>

#include <optional>

namespace guavavalve {

/// Tells a voter that does not belong to a formed group yet that it is a member of the sender's.
struct FormRequest
{
    /// The group's first log entry, which lists the initial members, if the sender's log still
    /// contains it.
    std::optional<LogEntry> first;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->first);
    }
};

} // namespace guavavalve
