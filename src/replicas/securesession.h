#pragma once

#include "core/error.h"
#include "core/ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavavalve::internal {

/// Seals and opens the frames of one connection.
///
/// Each side sends a Hello with a fresh nonce. Keys, one a direction, are a keyed BLAKE2b hash of
/// both hellos under the cluster's shared secret. Frames are ChaCha20-Poly1305 (libsodium) with
/// the frame's number as nonce and its length as associated data. So a frame counts only on its
/// own connection, in its own direction and at its own place: a replay fails to open.
class SecureSession
{
public:
    static constexpr std::size_t lengthBytes = 4;
    static constexpr std::size_t tagBytes = 16;
    static constexpr std::size_t maxHelloBytes = 1024;

    SecureSession(const std::string &clusterId, const InstanceId &instance,
                  const std::string &secret, bool isCaller);

    /// Own hello, with its length before it.
    std::string hello() const;
    /// Takes the other side's hello, without its length.
    /// \errors Corrupt if it is not one; Conflict for another version or cluster.
    Result<void> accept(std::string_view hello);
    /// Who the other side says it is; proved with its first frame.
    const InstanceId &peer() const { return this->peerInstance; }

    /// \a plain as a frame, with its length before it.
    std::string seal(std::string_view plain);
    /// The content of a frame, without its length, or nothing if it is not authentic.
    std::optional<std::string> open(std::string_view sealed);

private:
    using Key = std::array<unsigned char, 32>;

    Key deriveKey(std::string_view callerHello, std::string_view calleeHello, char direction) const;

    std::string clusterId;
    std::string ownHello;
    Key secretKey{};
    bool isCaller;
    InstanceId peerInstance;
    Key sendKey{};
    Key receiveKey{};
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace guavavalve::internal
