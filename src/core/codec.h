#pragma once

#include "core/error.h"
#include "core/memoryarchive.h"

#include <exception>
#include <string>
#include <string_view>

namespace guavavalve {

/// \a value as bytes. Cost: linear in its size.
template<typename T>
std::string encode(const T &value)
{
    std::string bytes;
    MemoryOutputArchive archive(bytes);
    archive(value);
    return bytes;
}

/// The value that \a bytes hold: the one place where received bytes become values.
/// \errors Corrupt if they end early, claim impossible lengths, or have bytes left over.
template<typename T>
Result<T> decode(std::string_view bytes)
{
    try {
        T value{};
        MemoryInputArchive archive(bytes);
        archive(value);
        if (archive.bytesLeft() != 0)
            return failure(ErrorCode::Corrupt, "the message has bytes left over");
        return value;
    } catch (const std::exception &problem) {
        return failure(ErrorCode::Corrupt, problem.what());
    }
}

} // namespace guavavalve
