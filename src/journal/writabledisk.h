#pragma once

#include "core/error.h"

#include <functional>

namespace guavavalve {

class Disk;

/// Returns once the folder takes a few kilobytes and syncs them. Asks \a pause between two tries,
/// which returns false to give up.
///
/// Guards against a process that ends and starts in a loop while its disk is full or refuses
/// writes: it stops at its first write, is started again by its supervisor, and so on, seven times
/// in five seconds, with a place in the group that it cannot fill.
/// \errors the disk's last, if it was given up.
Result<void> waitUntilWritable(Disk &disk, const std::function<bool(const Error &)> &pause);

} // namespace guavavalve
