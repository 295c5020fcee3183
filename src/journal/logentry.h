#pragma once

#include "journal/logindex.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve {

/// What an entry of the replicated log carries.
enum class EntryKind : std::uint8_t {
    NoOp, ///< a new leader's first entry of its term
    Command, ///< for the state machine
    Members, ///< the whole list of members, encoded
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
