#include "journal/frame.h"

#include "journal/checksum.h"

#include <cstring>

namespace guavavalve {

namespace {

constexpr std::uint32_t frameMagic = 0x4d465647; // "GVFM"
constexpr std::size_t lengthOffset = 4;
constexpr std::size_t sequenceOffset = 8;
constexpr std::size_t checksumOffset = 16;

template<typename T>
T readAt(std::string_view bytes, std::size_t offset)
{
    T value{};
    std::memcpy(&value, bytes.data() + offset, sizeof(value));
    return value;
}

template<typename T>
void writeAt(std::string &bytes, std::size_t offset, T value)
{
    std::memcpy(bytes.data() + offset, &value, sizeof(value));
}

/// Covers the magic, the length, the sequence and the payload.
std::uint64_t frameChecksum(std::string_view header, std::string_view payload, std::uint64_t seed)
{
    const std::uint64_t body = checksumOf(payload, seed);
    return checksumOf(header.substr(0, checksumOffset), body);
}

} // namespace

std::string encodeFrame(std::uint64_t sequence, std::string_view payload, std::uint64_t seed)
{
    std::string bytes(Frame::headerBytes, '\0');
    writeAt(bytes, 0, frameMagic);
    writeAt(bytes, lengthOffset, static_cast<std::uint32_t>(payload.size()));
    writeAt(bytes, sequenceOffset, sequence);
    writeAt(bytes, checksumOffset, frameChecksum(bytes, payload, seed));
    bytes.append(payload);
    return bytes;
}

std::optional<Frame> decodeFrame(std::string_view bytes, std::uint64_t seed)
{
    if (bytes.size() < Frame::headerBytes || readAt<std::uint32_t>(bytes, 0) != frameMagic)
        return std::nullopt;
    const auto length = readAt<std::uint32_t>(bytes, lengthOffset);
    if (length > Frame::maxPayloadBytes || length > bytes.size() - Frame::headerBytes)
        return std::nullopt;
    Frame frame;
    frame.sequence = readAt<std::uint64_t>(bytes, sequenceOffset);
    frame.payload = bytes.substr(Frame::headerBytes, length);
    if (frameChecksum(bytes, frame.payload, seed) != readAt<std::uint64_t>(bytes, checksumOffset))
        return std::nullopt;
    return frame;
}

bool holdsLaterFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t seed)
{
    const std::string magic(reinterpret_cast<const char *>(&frameMagic), sizeof(frameMagic));
    for (auto at = bytes.find(magic); at != std::string_view::npos;
         at = bytes.find(magic, at + 1)) {
        const auto frame = decodeFrame(bytes.substr(at), seed);
        if (frame && frame->sequence >= sequence)
            return true;
    }
    return false;
}

} // namespace guavavalve
