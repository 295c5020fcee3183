#pragma once

#include "journal/logindex.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve {

/// Describes a snapshot: the state after applying everything up to \a index.
struct SnapshotMeta
{
    LogIndex index = 0;
    std::uint64_t term = 0;
    std::string members; ///< the encoded member list in force at \a index
    std::uint64_t size = 0; ///< bytes of the state
    std::uint64_t checksum = 0; ///< of the state's bytes

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->index, this->term, this->members, this->size, this->checksum);
    }

    /// True if both describe the same bytes, so that an interrupted transfer can be resumed.
    bool sameBytes(const SnapshotMeta &other) const
    {
        return this->index == other.index && this->term == other.term && this->size == other.size
            && this->checksum == other.checksum;
    }
};

} // namespace guavavalve
