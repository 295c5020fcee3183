#include "journal/frame.h"

#include "journal/checksum.h"

#include <cstring>

namespace guavavalve {

namespace {

constexpr std::uint32_t frameMark = 0x4d465647; // "GVFM"
constexpr std::size_t lengthAt = 4;
constexpr std::size_t sequenceAt = 8;
constexpr std::size_t checksumAt = 16;

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

/// Over the length, the sequence and the payload.
std::uint64_t frameChecksum(std::string_view header, std::string_view payload, std::uint64_t seed)
{
    const std::uint64_t body = checksumOf(payload, seed);
    return checksumOf(header.substr(0, checksumAt), body);
}

} // namespace

std::string encodeFrame(std::uint64_t sequence, std::string_view payload, std::uint64_t seed)
{
    std::string bytes(Frame::headerBytes, '\0');
    writeAt(bytes, 0, frameMark);
    writeAt(bytes, lengthAt, static_cast<std::uint32_t>(payload.size()));
    writeAt(bytes, sequenceAt, sequence);
    writeAt(bytes, checksumAt, frameChecksum(bytes, payload, seed));
    bytes.append(payload);
    return bytes;
}

std::optional<Frame> decodeFrame(std::string_view bytes, std::uint64_t seed)
{
    if (bytes.size() < Frame::headerBytes || readAt<std::uint32_t>(bytes, 0) != frameMark)
        return std::nullopt;
    const auto length = readAt<std::uint32_t>(bytes, lengthAt);
    if (length > Frame::maxPayloadBytes || length > bytes.size() - Frame::headerBytes)
        return std::nullopt;
    Frame frame;
    frame.sequence = readAt<std::uint64_t>(bytes, sequenceAt);
    frame.payload = bytes.substr(Frame::headerBytes, length);
    if (frameChecksum(bytes, frame.payload, seed) != readAt<std::uint64_t>(bytes, checksumAt))
        return std::nullopt;
    return frame;
}

bool holdsLaterFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t seed)
{
    const std::string mark(reinterpret_cast<const char *>(&frameMark), sizeof(frameMark));
    for (auto at = bytes.find(mark); at != std::string_view::npos; at = bytes.find(mark, at + 1)) {
        const auto frame = decodeFrame(bytes.substr(at), seed);
        if (frame && frame->sequence >= sequence)
            return true;
    }
    return false;
}

} // namespace guavavalve
