#pragma once

#include "journal/hardstate.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace guavavalve {

/// The first frame of a segment: which replica it belongs to, and where it continues the journal.
struct SegmentHeader
{
    std::uint32_t format = 0;
    ReplicaIdentity identity;
    std::uint64_t number = 0;
    std::uint64_t firstSequence = 0; ///< sequence of the segment's first batch
    HardState hardState; ///< repeated here so that older segments can be deleted

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->identity, this->number, this->firstSequence, this->hardState);
    }
};

} // namespace guavavalve
