#pragma once

#include <cstdint>

namespace guavavalve {

/// Asks an address which replica is there.
struct IdentifyRequest
{
    /// If not zero: the replica should keep itself for this formation for a while.
    std::uint64_t reserveFor = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reserveFor);
    }
};

} // namespace guavavalve
