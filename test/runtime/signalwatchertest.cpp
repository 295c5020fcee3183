#include "runtime/signalwatcher.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

using namespace guavavalve;

namespace {

/// Before main(), as a daemon does it first: another test's threads would take the signals.
[[maybe_unused]] const bool blocked = (SignalWatcher::blockSignals(), true);

bool isPending(int signal)
{
    sigset_t pending;
    sigpending(&pending);
    return sigismember(&pending, signal) == 1;
}

/// Bounded by a minute, so that a fault ends the test and does not hang it.
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

// A supervisor sends SIGTERM, loses patience and sends it again while the last requests are being
// finished. A process that takes the second one as "now" cuts callers off in the middle of their
// answers. The watcher calls once, takes later signals off the queue and does nothing.
TEST_CASE("A second signal neither ends the process nor calls again")
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
