#include <catch2/catch.hpp>

#include "controller/controllerclock.h"

using namespace guavavalve;

namespace {

constexpr std::int64_t second = 1000000; // us

Instant at(std::int64_t microseconds)
{
    return Instant(Microseconds(microseconds));
}

} // namespace

TEST_CASE("a request has no stamp before a controller has reported its clock", "[calls]")
{
    const ControllerClock clock;
    CHECK_FALSE(clock.stamp(at(5 * second)).isKnown());
}

// Guards against calls that pass for newer than they are: an answer that arrives late would move
// the stamps into the past only, never into the future.
TEST_CASE("a stamp is never later than the controller's clock", "[calls]")
{
    ControllerClock clock;
    // The controller's clock is 100 s ahead; its answers take 2 ms, then 300 ms.
    clock.answerReceived(7, 101 * second, at(second + 2000));
    clock.answerReceived(7, 102 * second, at(2 * second + 300000));
    const CallStamp stamp = clock.stamp(at(3 * second));
    CHECK(stamp.term == 7);
    CHECK(stamp.controllerUs <= 103 * second);
    CHECK(stamp.controllerUs >= 103 * second - 5000); // the faster answer counts
}

// Guards against a clock that runs faster than the controller's: one early answer must not count
// forever.
TEST_CASE("an answer counts less the longer ago it was", "[calls]")
{
    ControllerClock clock;
    clock.answerReceived(7, 0, at(0));
    // An hour later the controller's clock has advanced by 1 s less than this machine's.
    const std::int64_t hour = 3600 * second;
    clock.answerReceived(7, hour - second, at(hour));
    CHECK(clock.stamp(at(hour)).controllerUs == hour - second);
}

// Guards against stamps that mix the clocks of two controllers.
TEST_CASE("a late answer of an earlier controller does not change the clock", "[calls]")
{
    ControllerClock clock;
    clock.answerReceived(8, 50 * second, at(second));
    clock.answerReceived(7, 900 * second, at(second + 1000));
    const CallStamp stamp = clock.stamp(at(second + 1000));
    CHECK(stamp.term == 8);
    CHECK(stamp.controllerUs <= 50 * second + 1000);
}

// Guards against a request that passes for newer than it is because its clock was learned later.
TEST_CASE("a stamp names the arrival also if the clock was learned after it", "[calls]")
{
    ControllerClock clock;
    clock.answerReceived(7, 110 * second, at(10 * second));
    // In the 3 s before, the controller's clock has advanced by 2 ms less than this machine's.
    const CallStamp stamp = clock.stamp(at(7 * second));
    CHECK(stamp.controllerUs <= 107 * second - 2000);
    CHECK(stamp.controllerUs >= 107 * second - 5000);
}

TEST_CASE("requests have no stamp once the controller does not report its clock", "[calls]")
{
    ControllerClock clock;
    clock.answerReceived(7, second, at(second));
    clock.reset();
    CHECK_FALSE(clock.stamp(at(2 * second)).isKnown());
}
