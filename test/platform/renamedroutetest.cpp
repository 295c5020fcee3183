#include <catch2/catch.hpp>

#include "platform/leaderfixture.h"

#include <string>

using namespace guavavalve;
using namespace guavavalve::platform;
using namespace guavavalve::workflows;

namespace {

const std::string jobPath = "/q/5c0e7a21d94b36f8";

struct RouteFixture : LeaderFixture
{
    /// Puts a document into force whose only route has this name and prefix.
    int put(int version, const std::string &name, const std::string &prefix = "/q/",
            const std::string &host = "jobs.example", const std::string &exempt = "false")
    {
        return this->call("PUT", "/config", "",
                          R"({"Version": )" + std::to_string(version) + R"(, "Routes": [{"Name": ")"
                              + name + R"(", "Host": ")" + host + R"(", "PathPrefix": ")" + prefix
                              + R"(", "AuthExempt": )" + exempt
                              + R"(, "TimeoutMs": 3000, "SloMs": 1000, "Priority": 1,
                                   "Service": "s", "Attempts": 2, "Stretch": 2.0}],
                                  "Services": [{"Name": "s"}],
                                  "Tenants": [{"Name": "t", "ApiKeys": ["key"]},
                                              {"Name": "u", "ApiKeys": ["other"]}]})");
    }
    int ask(const std::string &method) { return this->call(method, jobPath, "jobs.example", ""); }
    Workflow job()
    {
        return this->machine.read(
            [](const WorkflowStore &store) { return store.workflows().begin()->second; });
    }
};

} // namespace

// Guards against accepted jobs that are gone for their callers, and never started, once an operator
// gives their route another name.
TEST_CASE_METHOD(RouteFixture, "a route that gets another name keeps its jobs",
                 "[leaderservice][routes]")
{
    REQUIRE(this->submit() == 200);
    REQUIRE(this->put(4, "renamed", "/q/", "JOBS.example:8080") == 200);
    CHECK(this->ask("GET") == 200);
    CHECK(this->submit() == 200);
    CHECK(this->machine.read([](const WorkflowStore &s) { return s.workflows().size(); }) == 1);
    CHECK(this->controller.policy().queues.count(this->job().spec.queue) == 1);
    CHECK(this->call("GET", "/q/", "jobs.example", "") == 200);
    CHECK(this->body == R"({"Pending":1})");
    CHECK(this->ask("DELETE") == 200);
    CHECK(this->job().isCancelled);
}

// Guards against jobs of one queue that are shown, or cancelled, at the address of another one.
TEST_CASE_METHOD(RouteFixture, "a route's name does not take its jobs to another place",
                 "[leaderservice][routes]")
{
    REQUIRE(this->submit() == 200);
    REQUIRE(this->put(4, "q", "/other/") == 200);
    CHECK(this->call("GET", "/other/5c0e7a21d94b36f8", "jobs.example", "") == 410);
    CHECK(this->ask("GET") == 404);
    CHECK_FALSE(this->job().isCancelled);
    REQUIRE(this->put(5, "again") == 200);
    CHECK(this->ask("GET") == 200);
}

// Guards against work that its caller cannot stop, since it is carried out after its route is gone.
TEST_CASE_METHOD(RouteFixture, "a job of a removed route can still be cancelled",
                 "[leaderservice][routes]")
{
    REQUIRE(this->submit() == 200);
    REQUIRE(this->put(4, "q", "/other/") == 200);
    CHECK(this->controller.policy().queue(this->job().spec.queue) != nullptr);
    CHECK(this->call("DELETE", jobPath, "jobs.example", "", "other") == 404);
    CHECK_FALSE(this->job().isCancelled);
    CHECK(this->ask("DELETE") == 404);
    CHECK(this->job().isCancelled);
}

// Guards against the same when the address of the removed route selects a wider one.
TEST_CASE_METHOD(RouteFixture, "a job can be cancelled though its address selects another route",
                 "[leaderservice][routes]")
{
    REQUIRE(this->submit() == 200);
    REQUIRE(this->put(4, "all", "/") == 200);
    CHECK(this->ask("GET") == 404);
    CHECK(this->call("DELETE", jobPath, "jobs.example", "", "other") == 404);
    CHECK_FALSE(this->job().isCancelled);
    CHECK(this->ask("DELETE") == 404);
    CHECK(this->job().isCancelled);
}

// Guards against accepted jobs that are gone for their callers once their route needs no key any
// more, or needs one again.
TEST_CASE_METHOD(RouteFixture, "a job stays known when its route stops or begins to need a key",
                 "[leaderservice][routes]")
{
    REQUIRE(this->submit() == 200);
    REQUIRE(this->put(4, "q", "/q/", "jobs.example", "true") == 200);
    CHECK(this->call("GET", jobPath, "jobs.example", "", "") == 200);
    const std::string keyless = "/q/5c0e7a21d94b36f9";
    REQUIRE(this->call("POST", keyless, "jobs.example",
                       R"({"TaskSpec": "x", "Steps": [{"TaskCount": 1, "Cpu": 1000}]})", "")
            == 200);
    REQUIRE(this->put(5, "q") == 200);
    CHECK(this->ask("GET") == 200);
    CHECK(this->call("GET", jobPath, "jobs.example", "", "other") == 410);
    CHECK(this->call("GET", keyless, "jobs.example", "", "other") == 200);
    CHECK(this->call("DELETE", keyless, "jobs.example", "") == 200);
}

// Guards against jobs of an earlier version, stored under the name of their route, that are lost by
// an upgrade.
TEST_CASE_METHOD(RouteFixture, "a job that is stored under its route's name is found",
                 "[leaderservice][routes]")
{
    WorkflowSpec spec;
    spec.id = static_cast<WorkflowId>(0x5c0e7a21d94b36f8);
    spec.queue = "q";
    spec.account = "t";
    spec.steps.resize(1);
    this->controller.submit(spec, [](const Result<CommandOutcome> &) {});
    this->runPosted();
    CHECK(this->ask("GET") == 200);
    CHECK(this->controller.policy().queue("q") != nullptr);
    CHECK(this->ask("DELETE") == 200);
}
