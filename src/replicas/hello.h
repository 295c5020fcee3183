#pragma once

#include "core/ids.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace guavavalve::internal {

/// The first message of each side of a connection; in the clear.
struct Hello
{
    static constexpr std::uint32_t expectedMark = 0x4c565647; // "GVVL"
    static constexpr std::uint16_t currentVersion = 2;

    std::uint32_t mark = expectedMark;
    std::uint16_t version = currentVersion;
    std::string clusterId;
    InstanceId instance;
    std::array<std::uint8_t, 32> nonce{}; ///< fresh for each connection

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->mark, this->version, this->clusterId, this->instance, this->nonce);
    }
};

} // namespace guavavalve::internal
