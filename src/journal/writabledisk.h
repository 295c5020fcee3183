#pragma once

#include "core/error.h"

#include <functional>

namespace guavavalve {

class Disk;

/// Returns once a few kilobytes can be written to the folder and synced. Calls \a pause after each
/// failed attempt; \a pause returns false to give up.
///
/// Guards against a restart loop while the disk is full or refuses writes: a process that exits at
/// its first failed write is restarted by its supervisor and exits again, seven times in five
/// seconds, while it occupies a place in the group without serving it.
/// \errors that of the last attempt, if \a pause gave up.
Result<void> waitUntilWritable(Disk &disk, const std::function<bool(const Error &)> &pause);

} // namespace guavavalve
