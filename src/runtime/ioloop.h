#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace guavavalve {

/// One event loop on one thread, which HTTP servers, HTTP clients and what decides may share: what
/// runs on it needs no lock, and a request costs no change of threads.
class IoLoop
{
public:
    using Action = std::function<void()>;

    /// Starts the loop's thread.
    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;

    /// Ends the loop after the action that runs; later posts are dropped. From the loop itself it
    /// returns at once, and the thread ends with the action.
    void stop();

    /// Runs \a action on the loop, after what was posted before. From any thread.
    void post(Action action);
    /// Runs \a action at once when called on the loop, and else posts it.
    void dispatch(Action action);
    /// Runs \a action on the loop once \a delay is over. From any thread.
    void runAfter(Microseconds delay, Action action);

    bool isCurrentThread() const;
    bool isStopped() const;
    boost::asio::io_context &context();

private:
    struct Private;
    std::shared_ptr<Private> d; ///< the loop's thread holds it too
};

} // namespace guavavalve
