#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "fakes/fakecontroller.h"
#include "runtime/httpserver.h"
#include "runtime/timerqueue.h"
#include "standin/standintarget.h"
#include "targets/announcementjson.h"
#include "targets/announcementlistener.h"
#include "targets/httptargetclient.h"

#include <algorithm>
#include <atomic>

using namespace guavavalve;
using fakes::eventually;

namespace {

Announcement announcement()
{
    Announcement announced;
    announced.name = "worker-1";
    announced.incarnation = 1700000000000001;
    announced.address = "127.0.0.1:9";
    announced.failureDomain = "regina";
    announced.rack = "r3";
    announced.total = {{16000, 32768, 2, 8, 64}};
    announced.used = {{100, 200, 0, 1, 1}};
    announced.departing = true;
    announced.running = {{TaskId{(1ULL << 56U) + 5}, 2}};
    announced.revoked = {{TaskId{9}, 1}};
    return announced;
}

/// Grants a lease for each announcement while `leasing` is set, and fails otherwise.
struct LeasingController : fakes::FakeController
{
    LeasingController()
    {
        this->onAnnounce =
            [this](
                const std::vector<Announcement> &batch) -> Result<std::vector<AnnouncementReply>> {
            if (!this->leasing)
                return failure(ErrorCode::Unavailable, "no controller");
            std::vector<AnnouncementReply> replies(batch.size());
            for (AnnouncementReply &reply : replies)
                reply.leaseMs = this->leaseMs;
            return replies;
        };
    }

    std::atomic<bool> leasing{true};
    std::atomic<int> leaseMs{2000};
};

} // namespace

TEST_CASE("an announcement survives a JSON round trip with every field", "[announcement]")
{
    const Announcement sent = announcement();
    const auto parsed = parseAnnouncement(announcementJson(sent));
    REQUIRE(parsed);
    const Announcement &got = parsed.value();
    CHECK(got.name == sent.name);
    CHECK(got.incarnation == sent.incarnation);
    CHECK(got.address == sent.address);
    CHECK(got.failureDomain == sent.failureDomain);
    CHECK(got.rack == sent.rack);
    CHECK(got.total == sent.total);
    CHECK(got.used == sent.used);
    CHECK(got.departing);
    REQUIRE(got.running.size() == 1);
    CHECK(got.running[0].task == sent.running[0].task);
    CHECK(got.running[0].attempt == 2);
    CHECK(got.revoked.size() == 1);
}

TEST_CASE("a malformed announcement is refused with an error that names the field",
          "[announcement]")
{
    const auto refusedBy = [](const std::string &json) {
        const auto parsed = parseAnnouncement(json);
        return parsed ? std::string() : parsed.error().message;
    };
    CHECK(refusedBy("[1]").find("JSON object") != std::string::npos);
    CHECK(refusedBy(R"({"name": 7})").find("\"name\"") != std::string::npos);
    const std::string start = R"({"name":"a","address":"b","failureDomain":"c",)";
    CHECK(refusedBy(start + R"("incarnation":0})").find("incarnation") != std::string::npos);
    CHECK(refusedBy(start + R"("incarnation":1,"total":{"slots":-1}})").find("total.slots")
          != std::string::npos);
    CHECK(refusedBy(start + R"("incarnation":1,"total":{"seats":1}})").find("total.seats")
          != std::string::npos);
    CHECK(refusedBy(start + R"("incarnation":1,"running":["7"]})").find("TASK/ATTEMPT")
          != std::string::npos);
}

TEST_CASE("a target whose lease expires stops its work and refuses starts for its old incarnation",
          "[announcement]")
{
    // The target cannot reach any entry. Its lease expires and the controller gives its work to
    // another target. When it returns it has a new incarnation, and must refuse a start that was
    // sent for the old one.
    TimerQueue timers;
    LeasingController controller;
    controller.leaseMs = 400;
    HttpServer server({});
    const AnnouncementListener listener(server, controller, timers, {});
    REQUIRE(server.start());
    standin::StandInOptions options;
    options.entries = {"127.0.0.1:" + std::to_string(server.port())};
    options.announceMs = 50;
    options.runMs = 60000;
    standin::StandInTarget target(timers, options);
    REQUIRE(target.start());
    REQUIRE(controller.waitUntil([&] { return controller.batches.size() >= 2; }));

    HttpTargetClient client(timers, {});
    DispatchOrder order;
    order.task = TaskId{3};
    order.attempt = 1;
    order.incarnation = target.incarnation();
    order.targetAddress = target.address();
    std::atomic<bool> running{false};
    client.start(order, Milliseconds(0), [&](const Result<AttemptReport> &report) {
        running = report && !report.value().ended;
    });
    REQUIRE(eventually([&] { return running.load(); }));

    controller.leasing = false;
    REQUIRE(eventually([&] { return target.incarnation() > order.incarnation; }));
    std::atomic<bool> stopped{false};
    client.query(order.targetAddress, {order.task, order.attempt}, order.incarnation,
                 Milliseconds(0), [&](const Result<AttemptReport> &report) {
                     stopped = report && report.value().outcome == AttemptOutcome::Stopped;
                 });
    CHECK(eventually([&] { return stopped.load(); }));
    order.task = TaskId{4};
    std::atomic<bool> refused{false};
    client.start(order, Milliseconds(0), [&](const Result<AttemptReport> &report) {
        refused = report && report.value().ended
            && report.value().outcome == AttemptOutcome::NeverStarted;
    });
    CHECK(eventually([&] { return refused.load(); }));
}

TEST_CASE("announcements that arrive together reach the controller in one batch", "[announcement]")
{
    TimerQueue timers;
    LeasingController controller;
    HttpServer server({});
    AnnouncementListenerOptions listenerOptions;
    listenerOptions.batchDelay = Milliseconds(300);
    const AnnouncementListener listener(server, controller, timers, listenerOptions);
    REQUIRE(server.start());
    std::vector<std::unique_ptr<standin::StandInTarget>> targets;
    for (int i = 0; i < 5; ++i) {
        standin::StandInOptions options;
        options.name = "target-" + std::to_string(i);
        options.entries = {"127.0.0.1:" + std::to_string(server.port())};
        targets.push_back(std::make_unique<standin::StandInTarget>(timers, options));
        REQUIRE(targets.back()->start());
    }
    CHECK(controller.waitUntil([&] {
        return std::any_of(controller.batches.begin(), controller.batches.end(),
                           [](const auto &batch) { return batch.size() > 1; });
    }));
}
