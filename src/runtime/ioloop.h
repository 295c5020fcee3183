#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace guavavalve {

/// An event loop on a thread of its own. HTTP servers, HTTP clients and the controller can share
/// one: code that runs on it needs no locks, and a request needs no thread switch.
///
/// An exception that leaves an action, a timer or a completion handler is logged and counted, and
/// the loop goes on: most of what runs here serves one call, whose answer is then an error. An
/// action that runs again and again must arrange its next run so that an exception does not end
/// the series (ScopeExit).
class IoLoop
{
public:
    using Action = std::function<void()>;

    /// Starts the loop's thread.
    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;

    /// Stops the loop after the current action; actions that have not run are dropped. Waits for
    /// the thread, unless called on the loop: then the thread ends after the current action.
    void stop();

    /// Runs \a action on the loop, after all actions posted before. May be called on any thread.
    void post(Action action);
    /// Runs \a action at once if called on the loop; posts it otherwise.
    void dispatch(Action action);
    /// Runs \a action on the loop after \a delay. May be called on any thread.
    void runAfter(Microseconds delay, Action action);

    /// What is read from a socket now has arrived after this time, also if the process has stood
    /// still or the loop has been late. A tenth of a second ago as a rule. Call on the loop.
    Instant inputNotBefore() const;

    /// Exceptions that have left what runs on the loop.
    std::uint64_t exceptions() const;

    bool isCurrentThread() const;
    bool isStopped() const;
    boost::asio::io_context &context();

private:
    struct Private;
    std::shared_ptr<Private> d; ///< shared with the loop's thread
};

} // namespace guavavalve
