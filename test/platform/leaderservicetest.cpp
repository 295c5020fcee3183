#include <catch2/catch.hpp>

#include "controller/controllerlink.h"
#include "platform/leaderfixture.h"
#include "platform/leaderservice.h"
#include "platform/noreplicas.h"
#include "platform/relay.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::platform;
using namespace guavavalve::workflows;

// Guards against callers' repeats that take the place of new jobs in the log of a leader under
// load.
TEST_CASE_METHOD(LeaderFixture, "a repeat of a stored job is answered without a command",
                 "[leaderservice][calls]")
{
    REQUIRE(this->submit() == 200);
    const int before = this->log.proposals;
    CHECK(this->submit() == 200);
    CHECK(this->log.proposals == before);
}

// Guards against an acknowledgement by a replica whose leadership may have passed to another.
TEST_CASE_METHOD(LeaderFixture, "a repeat is not answered from the store of a former leader",
                 "[leaderservice][calls]")
{
    REQUIRE(this->submit() == 200);
    this->log.setLeading(false);
    CHECK(this->submit() == -1);
}

// Guards against a 503, which says that a job never runs, for one that this instance has proposed
// before it lost leadership.
TEST_CASE_METHOD(LeaderFixture, "a job that may yet be stored is not answered as one that is not",
                 "[leaderservice][calls]")
{
    NoReplicas messenger;
    auto link =
        std::make_shared<ControllerLink>(messenger, std::vector<std::string>{"other"},
                                         [this](Milliseconds, std::function<void()> action) {
                                             this->posted.push_back(std::move(action));
                                         });
    Relay::Hooks hooks;
    hooks.localService = [this] { return &this->service; };
    hooks.hasController = [] { return true; };
    hooks.answered = [](int, Microseconds) {};
    hooks.stamp = [](Instant, Instant) { return CallStamp{}; };
    Relay relay(std::move(link), messenger, std::move(hooks), "leader");
    HttpRequest request;
    request.method = "POST";
    request.path = "/q/5c0e7a21d94b36f8";
    request.headers["Host"] = "jobs.example";
    request.headers["X-Api-Key"] = "key";
    request.headers["X-Deadline-Ms"] = "100";
    request.body = R"({"TaskSpec": "x", "Steps": [{"TaskCount": 3, "Cpu": 1000}]})";
    this->log.isLosingLeadership = true;
    int status = 0;
    relay.serveCaller(request,
                      [&status](const HttpResponse &response) { status = response.status; });
    for (int i = 0; i < 100 && status == 0; ++i) {
        for (const auto &action : std::exchange(this->posted, {}))
            action();
        std::this_thread::sleep_for(Milliseconds(2));
    }
    CHECK(this->log.proposals > 0);
    CHECK(status == 504);
}

// Guards against a 503 for a request of which another attempt may run.
TEST_CASE_METHOD(LeaderFixture, "a call that is too old or of another term may have run",
                 "[leaderservice][intake]")
{
    const std::int64_t nowUs = monotonicNow().time_since_epoch().count();
    CHECK(this->submit("key", {2, nowUs}) == -1);
    CHECK(this->ran == Ran::Unknown);
    CHECK(this->submit("key", {1, nowUs - 10000000}) == -1);
    CHECK(this->ran == Ran::Unknown);
}
