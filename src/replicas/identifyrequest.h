#pragma once

#include <cstdint>

namespace guavavalve {

/// Asks which replica runs at an address, and reserves it for a formation or releases it.
struct IdentifyRequest
{
    /// If not zero, the formation to reserve the replica for. The reservation expires after a
    /// timeout.
    std::uint64_t reserveForFormation = 0;
    /// If not zero, a formation that has failed; a reservation for it ends.
    std::uint64_t releaseFormation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reserveForFormation, this->releaseFormation);
    }
};

} // namespace guavavalve
