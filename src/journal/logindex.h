#pragma once

#include <cstdint>

namespace guavavalve {

/// Position of an entry in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;

} // namespace guavavalve
