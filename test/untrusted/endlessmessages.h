#pragma once

#include "untrusted/smallcell.h"

#include <array>
#include <cstddef>

namespace guavavalve::untrusted {

/// A chunked body whose framing never ends.
struct EndlessMessage
{
    const char *name;
    const char *body; ///< its beginning
    const char *repeated;
};

inline constexpr std::array<EndlessMessage, 5> endlessMessages{{
    {"trailers of many lines", "2\r\n{}\r\n0\r\n", "X-Trailer: 0123456789\r\n"},
    {"a trailer of one line", "2\r\n{}\r\n0\r\nX-Trailer: ", "0123456789"},
    {"an extension of a chunk", "2;name=", "0123456789"},
    {"an extension of the last chunk", "2\r\n{}\r\n0;name=", "0123456789"},
    {"the size of a chunk", "", "0000000000"},
}};

/// Sent on each connection: half of the memory of a process.
inline constexpr std::size_t endlessBytes = SmallCell::memoryMb / 2 << 20U;

} // namespace guavavalve::untrusted
