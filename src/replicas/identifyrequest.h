#pragma once

#include <cstdint>

namespace guavavalve {

/// Asks an address which replica is there.
struct IdentifyRequest
{
    /// If not zero: the replica should keep itself for this formation for a while.
    std::uint64_t reserveFor = 0;
    /// If not zero: that formation has failed, and the replica need not keep itself for it.
    std::uint64_t release = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->reserveFor, this->release);
    }
};

} // namespace guavavalve
