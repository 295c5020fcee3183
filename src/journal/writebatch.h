#pragma once

#include "journal/hardstate.h"
#include "journal/logentry.h"
#include "journal/logindex.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <vector>

namespace guavavalve {

/// Changes that one sync makes durable together.
struct WriteBatch
{
    std::optional<HardState> hardState;
    /// Set after a snapshot from the leader: all entries are dropped, and the next one has this
    /// index plus one.
    std::optional<LogIndex> resetTo;
    /// Each entry replaces the stored one of the same index and everything after that.
    std::vector<LogEntry> entries;

    bool isEmpty() const { return !this->hardState && !this->resetTo && this->entries.empty(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->hardState, this->resetTo, this->entries);
    }
};

} // namespace guavavalve
