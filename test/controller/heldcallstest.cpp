#include <catch2/catch.hpp>

#include "controller/heldcalls.h"

#include <string>

using namespace guavavalve;

namespace {

const Instant start{std::chrono::seconds(100)};

class HeldFixture
{
public:
    HeldFixture()
        : held(limits())
    {}

    static HeldCalls::Options limits()
    {
        HeldCalls::Options options;
        options.maxCalls = 5;
        options.maxBytes = 1000;
        options.maxInFlight = 2;
        options.reserve = Milliseconds(300);
        return options;
    }
    bool hold(char name, Milliseconds left, std::size_t bytes = 1)
    {
        HeldCalls::Call call;
        call.deadline = start + left;
        call.bytes = bytes;
        call.handIn = [this, name] { this->handedIn += name; };
        call.reject = [this, name] { this->rejected += name; };
        return this->held.hold(call, start);
    }
    /// Hands in as many calls as may be pending.
    void handIn()
    {
        while (const auto call = this->held.takeNext())
            call->handIn();
    }

    HeldCalls held;
    std::string handedIn;
    std::string rejected;
};

} // namespace

// Guards against a second flood once a controller is found.
TEST_CASE_METHOD(HeldFixture, "held calls are handed in a few at a time", "[calls]")
{
    for (const char name : {'1', '2', '3', '4'})
        CHECK(this->hold(name, Milliseconds(1000)));
    this->handIn();
    CHECK(this->handedIn.size() == 2);
    this->held.ended();
    this->handIn();
    CHECK(this->handedIn.size() == 3);
}

// Guards against new requests that become late behind those that are late already.
TEST_CASE_METHOD(HeldFixture, "the held call with the most time left is handed in first", "[calls]")
{
    this->hold('b', Milliseconds(900));
    this->hold('c', Milliseconds(1000));
    this->hold('a', Milliseconds(800));
    this->handIn();
    CHECK(this->handedIn == "cb");
}

// Guards against callers that wait for an answer that can no longer come in time.
TEST_CASE_METHOD(HeldFixture, "a held call is given up while its caller can still try elsewhere",
                 "[calls]")
{
    this->hold('a', Milliseconds(500));
    this->hold('b', Milliseconds(2000));
    CHECK(this->held.takeExpired(start + Milliseconds(100)).empty());
    for (const auto &call : this->held.takeExpired(start + Milliseconds(200)))
        call.reject();
    CHECK(this->rejected == "a");
    CHECK(this->held.size() == 1);
}

// Guards against an entry that is cut off alone and keeps its callers from trying another one.
TEST_CASE_METHOD(HeldFixture, "a call is not held for as long as a patient caller would wait",
                 "[calls]")
{
    this->hold('a', Milliseconds(60000));
    CHECK(this->held.takeExpired(start + Milliseconds(999)).empty());
    CHECK(this->held.takeExpired(start + Milliseconds(1000)).size() == 1);
}

TEST_CASE_METHOD(HeldFixture, "a call without time to be served is not held", "[calls]")
{
    CHECK_FALSE(this->hold('a', Milliseconds(300)));
    CHECK(this->held.isEmpty());
}

// Guards against memory that grows as long as there is no controller.
TEST_CASE_METHOD(HeldFixture, "held calls are bounded in number", "[calls]")
{
    for (const char name : {'1', '2', '3', '4', '5'})
        CHECK(this->hold(name, Milliseconds(1000)));
    CHECK_FALSE(this->hold('6', Milliseconds(1000)));
}

TEST_CASE_METHOD(HeldFixture, "held calls are bounded in bytes, also after some have left",
                 "[calls]")
{
    CHECK(this->hold('1', Milliseconds(1000), 900));
    CHECK_FALSE(this->hold('2', Milliseconds(1000), 200));
    this->handIn();
    CHECK(this->hold('2', Milliseconds(1000), 200));
}
