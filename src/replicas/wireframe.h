#pragma once

#include <cereal/types/string.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve::internal {

/// The decrypted content of a frame between two instances.
struct WireFrame
{
    /// Values are part of the wire format.
    enum class Kind : std::uint8_t { Heartbeat = 0, Call = 1, Reply = 2, ErrorReply = 3 };

    static constexpr std::size_t overheadBytes = 64; ///< bound for all but the payload

    Kind kind = Kind::Heartbeat;
    std::uint64_t callId = 0; ///< unique on the caller's connection
    std::uint16_t method = 0;
    std::string payload;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->kind, this->callId, this->method, this->payload);
    }
};

} // namespace guavavalve::internal
