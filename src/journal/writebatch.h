#pragma once

#include "journal/hardstate.h"
#include "journal/logentry.h"
#include "journal/logindex.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <vector>

namespace guavavalve {

/// Everything that one sync makes durable together.
struct WriteBatch
{
    std::optional<HardState> hardState;
    /// Set after a snapshot from the leader: all entries go, the next has this index plus one.
    std::optional<LogIndex> resetTo;
    /// An entry replaces the one of the same index and everything after it.
    std::vector<LogEntry> entries;

    bool isEmpty() const { return !this->hardState && !this->resetTo && this->entries.empty(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->hardState, this->resetTo, this->entries);
    }
};

} // namespace guavavalve
