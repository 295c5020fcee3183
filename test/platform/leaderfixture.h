#pragma once

#include "platform/leaderservice.h"
#include "replicas/inmemorylog.h"
#include "workflows/sessions/targetport.h"
#include "workflows/store/workflowstoremachine.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::platform {

using namespace workflows;

class CountingLog : public InMemoryLog
{
public:
    using InMemoryLog::InMemoryLog;

    void propose(std::string command, Done<std::string> done) override
    {
        ++this->proposals;
        if (this->isLosingLeadership) {
            Error lost = failure(ErrorCode::Unavailable, "leadership was lost");
            lost.ran = Ran::Unknown;
            done(lost);
            return;
        }
        InMemoryLog::propose(std::move(command), std::move(done));
    }

    int proposals = 0;
    bool isLosingLeadership = false;
};

class NoTargets : public TargetPort
{
public:
    void start(const TargetIdentity &, const StartOrder &, Instant, Done<OrderAnswer>) override {}
    void stop(const TargetIdentity &, const StopOrder &, Instant, Done<OrderAnswer>) override {}
    void hold(const TargetIdentity &, const HoldOrder &, Instant, Done<HoldAnswer>) override {}
};

class NoAdmissions : public AdmissionPort
{
public:
    std::size_t querierCount() const override { return 0; }
    std::optional<InstanceId> reserve(Milliseconds) override { return std::nullopt; }
    void ask(const InstanceId &, const StepAddress &, const std::vector<std::string> &, Instant,
             Done<Admitted>) override
    {}
};

/// A leader without targets that has a configuration with one queue.
class LeaderFixture
{
public:
    explicit LeaderFixture(bool isConfigured = true)
        : controller(this->options(), this->log, this->machine, this->targets, this->admissions)
        , service(this->controller, [] { return true; }, {})
    {
        spdlog::set_level(spdlog::level::off);
        this->controller.leadershipChanged(true, 1);
        if (!isConfigured)
            return;
        this->call("PUT", "/config", "", R"({"Version": 3,
            "Routes": [{"Name": "q", "Host": "jobs.example", "PathPrefix": "/q/", "TimeoutMs": 3000,
                        "SloMs": 1000, "Priority": 1, "Service": "s", "Attempts": 2,
                        "Stretch": 2.0}],
            "Services": [{"Name": "s"}],
            "Tenants": [{"Name": "t", "ApiKeys": ["key"], "Weight": 1},
                        {"Name": "u", "ApiKeys": ["other"], "Weight": 1}]})");
    }

    ControllerOptions options()
    {
        ControllerOptions options;
        options.readPolicy = [](const std::string &text) -> Result<Policy> {
            return decodeConfiguration(text).value().policy;
        };
        options.post = [this](std::function<void()> action) {
            this->posted.push_back(std::move(action));
        };
        options.runAfter = [](Microseconds, const std::function<void()> &) {};
        options.calendarMs = [this] { return this->calendarNowMs; };
        return options;
    }

    /// Returns the status of the answer; 0: none.
    int call(const std::string &method, const std::string &path, const std::string &host,
             const std::string &body, const std::string &key = "key",
             const CallStamp &stamp = CallStamp{})
    {
        RelayedCall call;
        call.method = method;
        call.path = path;
        call.host = host;
        call.key = key;
        call.body = body;
        int status = 0;
        this->service.serve(call, stamp, [&](const Result<RelayedAnswer> &answer) {
            status = answer ? answer.value().status : -1;
            this->body = answer ? answer.value().body : std::string();
            this->ran = answer ? Ran::Yes : answer.error().ran;
        });
        this->runPosted();
        return status;
    }
    void runPosted()
    {
        while (!this->posted.empty()) {
            for (const auto &action : std::exchange(this->posted, {}))
                action();
        }
    }
    int submit(const std::string &key = "key", const CallStamp &stamp = CallStamp{})
    {
        return this->call("POST", "/q/5c0e7a21d94b36f8", "jobs.example",
                          R"({"TaskSpec": "x", "Steps": [{"TaskCount": 3, "Cpu": 1000}]})", key,
                          stamp);
    }

    Ran ran = Ran::No; ///< of the last error
    std::string body; ///< of the last answer
    std::int64_t calendarNowMs = 1000;
    std::vector<std::function<void()>> posted;
    WorkflowStoreMachine machine;
    CountingLog log{this->machine};
    NoTargets targets;
    NoAdmissions admissions;
    Controller controller;
    LeaderService service;
};

} // namespace guavavalve::platform
