#pragma once

#include <cstdint>
#include <string_view>

namespace guavavalve {

/// XXH3 of \a bytes. Detects accidental damage, not tampering.
std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed = 0);

} // namespace guavavalve
