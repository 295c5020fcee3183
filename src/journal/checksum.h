#pragma once

#include <cstdint>
#include <string_view>

namespace guavavalve {

/// XXH3 of \a bytes: against damage, not against malice.
std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed = 0);

} // namespace guavavalve
