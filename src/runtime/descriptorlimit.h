#pragma once

#include <cstddef>

namespace guavavalve {

/// Raises the process's soft limit of file descriptors to \a wanted, as far as the hard limit
/// allows; a soft limit that is higher stays. Many systems start processes with a soft limit of
/// 1024, whatever they may use. Returns the limit in force; \a wanted if it cannot be read.
std::size_t raiseDescriptorLimit(std::size_t wanted);

} // namespace guavavalve
