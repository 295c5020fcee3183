#pragma once

#include "journal/hardstate.h"
#include "journal/replicaidentity.h"

#include <cereal/types/string.hpp>

#include <cstdint>

namespace guavavalve {

/// The first frame of a segment: whose it is and where it continues.
struct SegmentHeader
{
    std::uint32_t format = 0;
    ReplicaIdentity identity;
    std::uint64_t number = 0;
    std::uint64_t firstSequence = 0; ///< of the first batch in it
    HardState hardState; ///< so that older segments can be released

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->format, this->identity, this->number, this->firstSequence, this->hardState);
    }
};

} // namespace guavavalve
