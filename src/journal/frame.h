#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace guavavalve {

/// One checksummed frame of a journal file. A batch is one frame and one sync, so a frame that
/// is followed by another was whole once.
struct Frame
{
    static constexpr std::size_t headerBytes = 24; ///< mark, length, sequence, checksum
    static constexpr std::size_t maxPayloadBytes = 256U << 20U;

    std::uint64_t sequence = 0;
    std::string_view payload;

    std::size_t bytes() const { return headerBytes + this->payload.size(); }
};

/// The bytes of a frame. \a seed binds it to its replica.
std::string encodeFrame(std::uint64_t sequence, std::string_view payload, std::uint64_t seed);

/// The frame at the start of \a bytes, if it is whole and its checksum holds.
std::optional<Frame> decodeFrame(std::string_view bytes, std::uint64_t seed);

/// True if anywhere in \a bytes there is a whole frame with a sequence of \a sequence or more.
bool holdsLaterFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t seed);

} // namespace guavavalve
