#pragma once

#include <exception>

namespace guavavalve {

struct MessengerOptions;

namespace internal {

struct AtomicCounters;

/// Counts an exception that a handler has thrown, and reports it to MessengerOptions::onException.
void noteException(const MessengerOptions &options, AtomicCounters &counters,
                   const std::exception &problem);

/// Runs \a work, a handler of the messenger's user. Its exceptions are noted and end nothing else:
/// they concern one call, and this thread serves the others.
template<typename Work>
void runGuarded(const MessengerOptions &options, AtomicCounters &counters, Work &&work)
{
    try {
        work();
    } catch (const std::exception &problem) {
        noteException(options, counters, problem);
    }
}

} // namespace internal

} // namespace guavavalve
