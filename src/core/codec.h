#pragma once

#include "core/error.h"
#include "core/memoryarchive.h"

#include <exception>
#include <string>
#include <string_view>

namespace guavavalve {

/// Serializes \a value. Cost: linear in its size.
template<typename T>
std::string encode(const T &value)
{
    std::string bytes;
    MemoryOutputArchive archive(bytes);
    archive(value);
    return bytes;
}

/// Deserializes a value from \a bytes. All received bytes are decoded by this function.
/// \errors Corrupt if \a bytes are truncated, contain an impossible length or have trailing bytes.
template<typename T>
Result<T> decode(std::string_view bytes)
{
    try {
        T value{};
        MemoryInputArchive archive(bytes);
        archive(value);
        if (archive.bytesLeft() != 0)
            return failure(ErrorCode::Corrupt, "the message has trailing bytes");
        return value;
    } catch (const std::exception &problem) {
        return failure(ErrorCode::Corrupt, problem.what());
    }
}

} // namespace guavavalve
