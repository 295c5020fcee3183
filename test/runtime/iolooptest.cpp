#include <catch2/catch.hpp>

#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <future>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>

using namespace guavavalve;

TEST_CASE("actions run on the loop in the order of their posts", "[ioloop]")
{
    IoLoop loop;
    std::promise<bool> done;
    int first = 0;
    loop.post([&] { first = 1; });
    loop.post([&] { done.set_value(first == 1 && loop.isCurrentThread()); });
    CHECK(done.get_future().get());
    CHECK_FALSE(loop.isCurrentThread());
}

TEST_CASE("a loop whose last reference is released on its own thread stops without an error",
          "[ioloop]")
{
    // When a server closes, the action that closes its connections may hold the last reference to
    // the loop. The loop's destructor must not join its own thread, which would terminate the
    // process.
    for (int i = 0; i < 20; ++i) {
        auto loop = std::make_shared<IoLoop>();
        std::promise<void> gone;
        IoLoop &reference = *loop;
        reference.post([held = std::move(loop), &gone]() mutable {
            held.reset();
            gone.set_value();
        });
        gone.get_future().wait();
    }
    SUCCEED();
}

TEST_CASE("a server can be destroyed while it holds the last reference to a shared loop",
          "[ioloop]")
{
    for (int i = 0; i < 50; ++i) {
        HttpServerOptions options;
        options.loop = std::make_shared<IoLoop>();
        HttpServer server(options);
        REQUIRE(server.start());
        options.loop.reset();
    }
}

TEST_CASE("an exception in an action or a timer is counted and the loop goes on", "[ioloop]")
{
    // Guards against one malformed call that ends the process: an exception that left an action
    // ended the loop's thread, and the process with it.
    IoLoop loop;
    loop.post([] { throw std::runtime_error("posted"); });
    loop.runAfter(Milliseconds(1), [] { throw std::runtime_error("timed"); });
    std::promise<void> later;
    loop.runAfter(Milliseconds(20), [&] { later.set_value(); });
    later.get_future().get();
    CHECK(loop.exceptions() == 2);
}

// Guards against a request that waited in a socket while the process stood still, and counts as
// sent when it is read.
TEST_CASE("what arrives while the loop stands still is dated before it is read", "[ioloop]")
{
    constexpr Milliseconds stall{700};
    IoLoop loop;
    std::this_thread::sleep_for(Milliseconds(300));
    std::promise<std::pair<Instant, Instant>> during;
    loop.post([&] {
        const Instant began = monotonicNow();
        std::this_thread::sleep_for(stall); // as a process that is stopped
        loop.post([&loop, &during, began] { during.set_value({began, loop.inputNotBefore()}); });
    });
    const auto [began, notBefore] = during.get_future().get();
    CHECK(notBefore <= began);
    Instant later{};
    for (int i = 0; i < 1000 && later < began + stall; ++i) {
        std::this_thread::sleep_for(Milliseconds(10));
        std::promise<Instant> asked;
        loop.post([&] { asked.set_value(loop.inputNotBefore()); });
        later = asked.get_future().get();
    }
    CHECK(later >= began + stall);
}
