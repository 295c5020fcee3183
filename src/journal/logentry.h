#pragma once

#include "journal/logindex.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve {

/// Type of an entry of the replicated log.
enum class EntryKind : std::uint8_t {
    NoOp, ///< the first entry of a new leader's term
    Command, ///< a command for the state machine
    Members, ///< the complete member list, encoded
};

/// One entry of the replicated log.
struct LogEntry
{
    LogIndex index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::NoOp;
    std::string payload;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->term, this->kind, this->payload);
    }
};

} // namespace guavavalve
