#pragma once

#include "core/ids.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>

#include <array>
#include <cstdint>
#include <string>

namespace guavavalve::internal {

/// The handshake message that each side of a connection sends first, unencrypted.
struct Hello
{
    static constexpr std::uint32_t expectedMagic = 0x4c565647; // "GVVL"
    static constexpr std::uint16_t currentVersion = 2;

    std::uint32_t magic = expectedMagic;
    std::uint16_t version = currentVersion;
    std::string clusterId;
    InstanceId instance;
    std::array<std::uint8_t, 32> nonce{}; ///< fresh for each connection

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->magic, this->version, this->clusterId, this->instance, this->nonce);
    }
};

} // namespace guavavalve::internal
