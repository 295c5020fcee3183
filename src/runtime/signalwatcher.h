#pragma once

#include <functional>
#include <thread>

namespace guavavalve {

/// Calls a function once on the first SIGTERM or SIGINT, and another one on each SIGHUP. Both are
/// called on a separate thread.
class SignalWatcher
{
public:
    /// Blocks the signals for this thread and the threads that it starts. Must be called first in
    /// main(): a thread started earlier would receive the signal, which terminates the process and
    /// with it every open request.
    static void blockSignals();

    /// Calls \a onTerminate once, on the first SIGTERM or SIGINT.
    ///
    /// Later ones are ignored: otherwise a second signal from an operator or a supervisor would
    /// abort the requests that are being completed. To abort them, send SIGKILL.
    ///
    /// SIGHUP calls \a onReload, if set, and does not terminate the process as it does by default.
    explicit SignalWatcher(std::function<void(int signal)> onTerminate,
                           std::function<void()> onReload = nullptr);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    void watch(const std::function<void(int signal)> &onTerminate,
               const std::function<void()> &onReload) const;

    int signals = -1; ///< signalfd
    int stopEvent = -1; ///< eventfd that stops the thread
    std::thread thread;
};

} // namespace guavavalve
