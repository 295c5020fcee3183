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

/// Encrypts and authenticates the frames of one connection.
///
/// Each side sends a Hello with a fresh nonce. The keys, one per direction, are a keyed BLAKE2b
/// hash of both hellos under the cluster's shared secret. Frames are ChaCha20-Poly1305 (libsodium)
/// with the frame's sequence number as nonce and its length as associated data. A frame is
/// therefore valid only on its own connection, in its own direction and at its own position: a
/// replayed frame fails authentication.
class SecureSession
{
public:
    static constexpr std::size_t lengthBytes = 4;
    static constexpr std::size_t tagBytes = 16;
    static constexpr std::size_t maxHelloBytes = 1024;

    SecureSession(const std::string &clusterId, const InstanceId &instance,
                  const std::string &secret, bool isCaller);

    /// This side's hello with a length prefix.
    std::string hello() const;
    /// Processes the peer's hello, without its length prefix, and derives the keys.
    /// \errors Corrupt if it cannot be decoded; Conflict for another version or cluster.
    Result<void> accept(std::string_view hello);
    /// The instance named in the peer's hello; not authenticated until its first frame is
    /// decrypted.
    const InstanceId &peer() const { return this->peerInstance; }

    /// Encrypts \a plain into a frame with a length prefix.
    std::string seal(std::string_view plain);
    /// Decrypts a frame, without its length prefix; std::nullopt if it is not authentic.
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
