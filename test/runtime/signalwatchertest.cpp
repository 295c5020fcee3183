#include "runtime/signalwatcher.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

using namespace guavavalve;

namespace {

/// Blocked before main(), as early as a daemon does it: threads of other tests would otherwise
/// receive the signals.
[[maybe_unused]] const bool blocked = (SignalWatcher::blockSignals(), true);

bool isPending(int signal)
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, signal) == 1;
}

/// Waits for at most a minute, so that a fault fails the test instead of hanging it.
template<typename Condition>
bool eventually(Condition holds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::minutes(1);
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

} // namespace

// A supervisor sends SIGTERM a second time while the last requests are being completed. If the
// second signal terminated the process, callers would lose their responses. The watcher calls the
// function once, and receives and ignores later signals.
TEST_CASE("A second signal neither terminates the process nor calls the function again")
{
    std::atomic<int> calls{0};
    {
        const SignalWatcher watcher([&calls](int signal) {
            CHECK(signal == SIGTERM);
            ++calls;
        });
        REQUIRE(kill(getpid(), SIGTERM) == 0);
        REQUIRE(eventually([&calls] { return calls == 1; }));
        REQUIRE(kill(getpid(), SIGTERM) == 0);
        REQUIRE(kill(getpid(), SIGINT) == 0);
        REQUIRE(eventually([] { return !isPending(SIGTERM) && !isPending(SIGINT); }));
    }
    CHECK(calls == 1);
}
