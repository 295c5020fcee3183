#pragma once

namespace guavavalve {

/// Replaces defaults of the system that end a process, or mix up its files. Must be called first in
/// main(), before the first thread and the first descriptor.
///
/// Blocks the signals that a SignalWatcher receives. Ignores SIGPIPE and SIGXFSZ, which are raised
/// by a write to a closed connection and by one beyond the limit on the size of files: such writes
/// fail with an error instead. Opens standard descriptors that are closed, or the next file or
/// socket would get their numbers and receive the output of the process.
void prepareProcess();

} // namespace guavavalve
