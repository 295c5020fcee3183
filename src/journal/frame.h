#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavavalve {

/// A checksummed frame of a journal file. A batch is written as one frame and then synced, so a
/// frame that is followed by another was once complete on the disk.
struct Frame
{
    static constexpr std::size_t headerBytes = 24; ///< magic, length, sequence, checksum
    static constexpr std::size_t maxPayloadBytes = 256U << 20U;

    std::uint64_t sequence = 0;
    std::string_view payload;

    std::size_t bytes() const { return headerBytes + this->payload.size(); }
};

/// Encodes a frame. \a seed makes its checksum specific to the replica.
std::string encodeFrame(std::uint64_t sequence, std::string_view payload, std::uint64_t seed);

/// The frame at the start of \a bytes, if it is complete and its checksum matches.
std::optional<Frame> decodeFrame(std::string_view bytes, std::uint64_t seed);

/// True if \a bytes contain, at any offset, a valid frame whose sequence is \a sequence or greater.
bool holdsLaterFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t seed);

} // namespace guavavalve
