#pragma once

#include "core/error.h"
#include "state/bytearchive.h"

#include <exception>
#include <string>
#include <utility>

namespace guavavalve {

/// \a value as bytes.
template<typename Value>
std::string encodeBytes(const Value &value)
{
    std::string bytes;
    ByteWriter writer(bytes);
    writer(value);
    return bytes;
}

/// The one point where bytes from elsewhere become values.
/// \errors Corrupt if \a bytes are not a whole Value; \a what names it in the message.
template<typename Value>
Result<Value> decodeBytes(const std::string &bytes, const char *what)
{
    try {
        Value value;
        ByteReader reader(bytes);
        reader(value);
        if (reader.left() != 0)
            return failure(ErrorCode::Corrupt, std::string(what) + " has bytes left over");
        return value;
    } catch (const std::exception &error) {
        return failure(ErrorCode::Corrupt,
                       std::string(what) + " cannot be decoded: " + error.what());
    }
}

} // namespace guavavalve
