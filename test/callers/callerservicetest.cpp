#include <catch2/catch.hpp>

#include "callers/callerservice.h"
#include "callers/submitparsing.h"
#include "fakes/eventually.h"
#include "fakes/fakecontroller.h"
#include "fakes/httpcaller.h"
#include "runtime/httpserver.h"
#include "runtime/timerqueue.h"
#include "standin/standintarget.h"
#include "targets/dispatcher.h"
#include "targets/httptargetclient.h"
#include "targets/targetcontract.h"

#include <nlohmann/json.hpp>

#include <future>

using namespace guavavalve;
using fakes::HttpAnswer;

namespace {

using Headers = std::map<std::string, std::string>;

constexpr JobId job{7};
const std::string key = "secret";

Result<CallerIdentity> checkKey(std::string_view bearer)
{
    if (bearer != key)
        return failure(ErrorCode::Unauthenticated, "the key is unknown or withdrawn");
    return CallerIdentity{"key-1", "mill"};
}

/// An entry with one target. Its controller accepts every job and orders this entry to send it.
struct Entry
{
    explicit Entry(CallerServiceOptions options = {})
    {
        REQUIRE(this->target.start());
        options.entry = "entry-1";
        this->service = std::make_unique<CallerService>(
            CallerService::Dependencies{this->server, this->controller, this->dispatcher,
                                        this->client, this->timers},
            checkKey, options);
        REQUIRE(this->server.start());
        this->controller.onSubmit = [this](const SubmitRequest &request) {
            return Result<SubmitReply>(this->accept(request));
        };
    }

    SubmitReply accept(const SubmitRequest &request) const
    {
        DispatchOrder order;
        order.task = TaskId{idValue(job)};
        order.job = job;
        order.attempt = 1;
        order.incarnation = this->target.incarnation();
        order.targetAddress = this->target.address();
        order.payload = request.payload;
        SubmitReply reply;
        reply.job = job;
        reply.dispatches.push_back(order);
        return reply;
    }

    HttpAnswer call(const std::string &method, const std::string &path, Headers headers = {},
                    const std::string &body = {}) const
    {
        headers.emplace("Authorization", "Bearer " + key);
        return fakes::callHttp(method,
                               "http://127.0.0.1:" + std::to_string(this->server.port()) + path,
                               headers, body);
    }

    /// The status of a job of one task that ended as \a state.
    JobStatus ended(TaskState state, Ran ran) const
    {
        TaskStatus task;
        task.task = TaskId{idValue(job)};
        task.state = state;
        task.attempt = 1;
        task.targetAddress = this->target.address();
        task.ran = ran;
        JobStatus status;
        status.job = job;
        status.team = "mill";
        status.finished = true;
        status.waitedMs = 12;
        status.tasks.push_back(task);
        return status;
    }

    TimerQueue timers;
    fakes::FakeController controller;
    standin::StandInTarget target{this->timers, {}};
    HttpTargetClient client{this->timers, {}};
    Dispatcher dispatcher{this->controller, this->client, this->timers, {}};
    HttpServer server{{}};
    std::unique_ptr<CallerService> service;
};

nlohmann::json bodyOf(const HttpAnswer &answer)
{
    return nlohmann::json::parse(answer.body);
}

} // namespace

TEST_CASE("a waiting caller receives the complete answer to its own request", "[callers]")
{
    Entry entry;
    const HttpAnswer answer =
        entry.call("POST", "/v1/jobs?wait=true", {}, "answerBytes=300000 die wear");
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == 300000);
    CHECK(answer.body.find("answer to: answerBytes=300000 die wear") == 0);
    CHECK(answer.headers.at("Guavavalve-Job") == "7");
    CHECK(answer.headers.count("Guavavalve-Waited-Ms") == 1);
    REQUIRE(entry.controller.submitted.size() == 1);
    CHECK(entry.controller.submitted[0].team == "mill");
    CHECK(entry.controller.submitted[0].keyId == "key-1");
    CHECK(entry.controller.submitted[0].entry == "entry-1");
    CHECK(entry.service->counters().answered == 1);
}

TEST_CASE("a caller without a valid key is refused and nothing is submitted", "[callers]")
{
    Entry entry;
    const HttpAnswer wrong = entry.call("POST", "/v1/jobs", {{"Authorization", "Bearer guess"}});
    CHECK(wrong.status == 401);
    CHECK(bodyOf(wrong)["ran"] == "no");
    CHECK(entry.call("GET", "/v1/jobs/7", {{"Authorization", "secret"}}).status == 401);
    CHECK(entry.controller.submitted.empty());
}

TEST_CASE("the headers of a submission are parsed into the submit request", "[callers]")
{
    Entry entry;
    const Headers headers{{"Idempotency-Key", "order-17"},
                          {"Guavavalve-Class", "gang"},
                          {"Guavavalve-Need", "milliCores=500, accelerators=1"},
                          {"Guavavalve-Tasks", "4"},
                          {"Guavavalve-Repeatable", "false"},
                          {"Guavavalve-Start-Within-Ms", "3100"},
                          {"Guavavalve-Finish-Within-Ms", "60000"},
                          {"Guavavalve-Run-Time-Ms", "2000"}};
    const HttpAnswer accepted = entry.call("POST", "/v1/jobs", headers, "payload");
    CHECK(accepted.status == 202);
    CHECK(accepted.headers.at("Location") == "/v1/jobs/7");
    CHECK(bodyOf(accepted)["job"] == "7");
    REQUIRE(entry.controller.submitted.size() == 1);
    const SubmitRequest &request = entry.controller.submitted[0];
    CHECK(request.idempotencyKey == "order-17");
    CHECK(request.workClass == WorkClass::Gang);
    CHECK(request.need == Resources{{500, 0, 1, 1, 1}});
    CHECK(request.tasks == 4);
    CHECK_FALSE(request.repeatable);
    CHECK(request.startWithinMs == 3100);
    CHECK(request.finishWithinMs == 60000);
    CHECK(request.declaredRunTimeMs == 2000);
    CHECK(request.payload == "payload");
    SubmitRequest other = request;
    CHECK(submitDigest(other) == request.digest);
    other.payload += "!";
    CHECK(submitDigest(other) != request.digest);
}

TEST_CASE("a malformed header is refused with an error that names it, and nothing is submitted",
          "[callers]")
{
    Entry entry;
    const auto [header, value] = GENERATE(
        table<std::string, std::string>({{"Guavavalve-Class", "bulk"},
                                         {"Guavavalve-Need", "slots=-1"},
                                         {"Guavavalve-Need", "seats=2"},
                                         {"Guavavalve-Tasks", "0"},
                                         {"Guavavalve-Tasks", "4x"},
                                         {"Guavavalve-Repeatable", "perhaps"},
                                         {"Guavavalve-Start-Within-Ms", "99999999999999999999"},
                                         {"Idempotency-Key", "~mine"}}));
    const HttpAnswer refused = entry.call("POST", "/v1/jobs?wait=true", {{header, value}});
    CHECK(refused.status == 400);
    CHECK(bodyOf(refused)["error"] == "invalid-argument");
    CHECK(bodyOf(refused)["ran"] == "no");
    CHECK(bodyOf(refused)["message"].get<std::string>().find(header) != std::string::npos);
    CHECK(entry.controller.submitted.empty());
}

TEST_CASE("a request that joins another one receives the complete answer of that one", "[callers]")
{
    // A caller lost the connection before its answer arrived and resends through another entry.
    // That entry must not send the task again: it learns from the controller that the job has
    // finished, and fetches the answer from the target that stores it.
    Entry entry;
    const SubmitReply first = entry.accept({});
    std::atomic<bool> ended{false};
    entry.client.start(first.dispatches[0], Milliseconds(1000),
                       [&](const Result<AttemptReport> &) { ended = true; });
    REQUIRE(fakes::eventually([&] { return ended.load(); }));
    entry.controller.onSubmit = [](const SubmitRequest &) {
        SubmitReply reply;
        reply.job = job;
        reply.joined = true;
        return Result<SubmitReply>(reply);
    };
    entry.controller.onStatus = [&](JobId, bool) {
        JobStatus status = entry.ended(TaskState::Succeeded, Ran::Yes);
        status.tasks[0].answerLength = std::string("answer to: ").size();
        status.tasks[0].answerDigest = answerDigest("answer to: ");
        return Result<JobStatus>(status);
    };
    const HttpAnswer joined = entry.call("POST", "/v1/jobs?wait=true");
    CHECK(joined.status == 200);
    CHECK(joined.body == "answer to: ");
    CHECK(joined.headers.at("Guavavalve-Waited-Ms") == "12");
    CHECK(entry.call("GET", "/v1/jobs/7/answer").body == "answer to: ");
    CHECK(entry.call("GET", "/v1/jobs/7/answer?task=1").status == 404);
    CHECK(entry.dispatcher.counters().started == 0);
}

TEST_CASE("an answer other than the committed one is never returned", "[callers]")
{
    // A new target has taken over the address of one that is gone, and knows an attempt of the same
    // name. Its answer does not have the digest that was committed.
    Entry entry;
    std::atomic<bool> ended{false};
    entry.client.start(entry.accept({}).dispatches[0], Milliseconds(1000),
                       [&](const Result<AttemptReport> &) { ended = true; });
    REQUIRE(fakes::eventually([&] { return ended.load(); }));
    entry.controller.onStatus = [&](JobId, bool) {
        JobStatus status = entry.ended(TaskState::Succeeded, Ran::Yes);
        status.tasks[0].answerLength = std::string("answer to: ").size();
        status.tasks[0].answerDigest = answerDigest("another");
        return Result<JobStatus>(status);
    };
    const HttpAnswer answer = entry.call("GET", "/v1/jobs/7/answer");
    CHECK(answer.status == 502);
    CHECK(bodyOf(answer)["error"] == "incomplete-answer");
    CHECK(bodyOf(answer)["ran"] == "yes");
}

TEST_CASE("every failed job reports whether it ran", "[callers]")
{
    struct Case
    {
        TaskState state;
        Ran ran;
        int status;
        std::string error;
    };
    const auto given = GENERATE(values<Case>({
        {TaskState::Failed, Ran::Yes, 502, "target-failed"},
        {TaskState::Failed, Ran::No, 503, "deadline-exceeded"},
        {TaskState::Cancelled, Ran::No, 409, "cancelled"},
        {TaskState::Cancelled, Ran::Yes, 409, "cancelled"},
        {TaskState::Unknown, Ran::Unknown, 502, "target-failed"},
    }));
    Entry entry;
    entry.controller.onSubmit = [](const SubmitRequest &) {
        SubmitReply reply;
        reply.job = job;
        return Result<SubmitReply>(reply);
    };
    entry.controller.onStatus = [&](JobId, bool) {
        return Result<JobStatus>(entry.ended(given.state, given.ran));
    };
    const HttpAnswer answer = entry.call("POST", "/v1/jobs?wait=true");
    CHECK(answer.status == given.status);
    CHECK(bodyOf(answer)["error"] == given.error);
    CHECK(bodyOf(answer)["ran"] == enumName(ranNames, given.ran));
    CHECK((answer.headers.count("Retry-After") == 1) == (given.status == 503));
}

TEST_CASE("a controller's refusal reaches the caller with its retry delay", "[callers]")
{
    Entry entry;
    entry.controller.onSubmit = [](const SubmitRequest &) -> Result<SubmitReply> {
        Error error = failure(ErrorCode::LimitExceeded, "the team has too much waiting");
        error.retryAfter = Milliseconds(2500);
        return error;
    };
    const HttpAnswer refused = entry.call("POST", "/v1/jobs?wait=true");
    CHECK(refused.status == 429);
    CHECK(refused.headers.at("Retry-After") == "3");
    CHECK(bodyOf(refused)["retryAfterMs"] == 2500);
    CHECK(entry.service->counters().refused == 1);
}

TEST_CASE("a caller whose wait ends before the job is told that it is unknown whether the job ran",
          "[callers]")
{
    // The job has been accepted and is waiting. "ran: no" would become false as soon as it starts.
    Entry entry;
    entry.controller.onSubmit = [](const SubmitRequest &) {
        SubmitReply reply;
        reply.job = job;
        return Result<SubmitReply>(reply);
    };
    entry.controller.onStatus = [&](JobId, bool) {
        JobStatus status = entry.ended(TaskState::Waiting, Ran::No);
        status.finished = false;
        return Result<JobStatus>(status);
    };
    const HttpAnswer answer =
        entry.call("POST", "/v1/jobs?wait=true", {{"Guavavalve-Finish-Within-Ms", "300"}});
    CHECK(answer.status == 504);
    CHECK(bodyOf(answer)["ran"] == "unknown");
    CHECK(answer.headers.at("Guavavalve-Job") == "7");
}

TEST_CASE("a failed attempt that is retried elsewhere is not reported to the waiting caller",
          "[callers]")
{
    // The attempt on the first target fails and the controller tries another one. The waiting
    // caller must receive the final result and not the first failure.
    Entry entry;
    std::atomic<int> asked{0};
    REQUIRE(entry.target.control(R"({"failAll": true})"));
    entry.controller.onStatus = [&](JobId, bool) {
        ++asked;
        JobStatus status = entry.ended(TaskState::Succeeded, Ran::Yes);
        status.tasks.push_back(status.tasks[0]);
        return Result<JobStatus>(status);
    };
    CHECK(entry.call("POST", "/v1/jobs?wait=true").status == 200);
    CHECK(asked == 1);
    REQUIRE(entry.controller.ends.size() == 1);
    CHECK(entry.controller.ends[0].outcome == AttemptOutcome::Failed);
}

TEST_CASE("status and cancel requests return the state of the job", "[callers]")
{
    Entry entry;
    entry.controller.onStatus = [&](JobId asked, bool) -> Result<JobStatus> {
        if (asked != job)
            return failure(ErrorCode::NotFound, "no such job of this team");
        return entry.ended(TaskState::Succeeded, Ran::Yes);
    };
    entry.controller.onCancel = [&](JobId) {
        return Result<JobStatus>(entry.ended(TaskState::Cancelled, Ran::No));
    };
    const auto status = bodyOf(entry.call("GET", "/v1/jobs/7"));
    CHECK(status["finished"] == true);
    CHECK(status["tasks"][0]["state"] == "succeeded");
    CHECK(entry.call("GET", "/v1/jobs/8").status == 404);
    CHECK(entry.call("GET", "/v1/jobs/x").status == 400);
    CHECK(bodyOf(entry.call("DELETE", "/v1/jobs/7"))["tasks"][0]["state"] == "cancelled");
}

TEST_CASE("requests beyond the open-request limit of a key are refused", "[callers]")
{
    // A caller opens one waiting request after another. It must not use up the entry's capacity for
    // other keys.
    CallerServiceOptions options;
    options.maxOpenPerKey = 2;
    Entry entry(options);
    const auto open = [&] {
        return std::async(std::launch::async, [&] {
            return entry.call("POST", "/v1/jobs?wait=true", {}, "runMs=1500").status;
        });
    };
    auto first = open();
    auto second = open();
    REQUIRE(entry.controller.waitUntil([&] { return entry.controller.submitted.size() == 2; }));
    const HttpAnswer third = entry.call("GET", "/v1/jobs/7");
    CHECK(third.status == 429);
    CHECK(bodyOf(third)["ran"] == "no");
    CHECK(first.get() == 200);
    CHECK(second.get() == 200);
}
