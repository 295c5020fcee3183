#pragma once

#include <functional>
#include <thread>

namespace guavavalve {

/// Turns SIGTERM and SIGINT into one call of a function, and each SIGHUP into a call of another,
/// on a thread of its own.
class SignalWatcher
{
public:
    /// Blocks the signals for this thread and those that it starts. Called first thing in
    /// main(): a thread started earlier would take the signal and end the process, and with it
    /// every open request.
    static void blockSignals();

    /// Calls \a onFirst once, at the first of the signals.
    ///
    /// Later signals change nothing. An operator or a supervisor that sends a second one while
    /// requests are being finished would otherwise cut them off; whoever wants that has SIGKILL.
    ///
    /// SIGHUP, which ends a process that does not watch for it, calls \a onReload.
    explicit SignalWatcher(std::function<void(int signal)> onFirst,
                           std::function<void()> onReload = nullptr);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    void watch(const std::function<void(int signal)> &onFirst,
               const std::function<void()> &onReload) const;

    int signals = -1; ///< signalfd
    int wakeUp = -1; ///< eventfd that ends the thread
    std::thread thread;
};

} // namespace guavavalve
