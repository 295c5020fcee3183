#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "platform/faketarget.h"
#include "platform/node.h"
#include "platform/nodedescriptors.h"
#include "replicas/temporaryfolder.h"
#include "runtime/httpclient.h"

#include <spdlog/spdlog.h>

#include <future>
#include <unistd.h>

using namespace guavavalve;
using namespace guavavalve::platform;
using fakes::eventually;

namespace {

constexpr const char *configuration = R"({"Version": 3,
    "Routes": [{"Name": "q", "Host": "jobs.example", "PathPrefix": "/q/", "TimeoutMs": 3000,
                "SloMs": 1000, "Priority": 1, "Service": "s", "Attempts": 2, "Stretch": 2.0}],
    "Services": [{"Name": "s"}],
    "Tenants": [{"Name": "t", "ApiKeys": ["key"], "Weight": 1}]})";
constexpr const char *jobPath = "/q/5c0e7a21d94b36f8";
constexpr const char *jobBody = R"({"TaskSpec": "x", "Steps": [
    {"TaskCount": 3, "Cpu": 1000, "EstRuntimeMs": 50},
    {"TaskCount": 2, "Cpu": 1000, "EstRuntimeMs": 50, "DependsOn": [0], "Gang": true}]})";

/// A part of the loopback network for this process alone: all machines of the platform have the
/// same ports, and tests run side by side.
std::string ownNetwork()
{
    constexpr int parts = 250;
    const int id = static_cast<int>(getpid());
    return "127." + std::to_string(1 + id / parts % parts) + "." + std::to_string(1 + id % parts)
        + ".";
}

/// Three machines with a disk and one entry, on addresses of the loopback network of their own.
class PlatformFixture
{
public:
    PlatformFixture()
        : worker("i-1", this->net + "9")
    {
        spdlog::set_level(spdlog::level::off);
        for (int i = 1; i <= 3; ++i)
            this->seeds.push_back(this->ipOf(i) + ":" + std::to_string(controlPort));
        for (int i = 1; i <= 3; ++i)
            this->startCore(i);
        this->startEdge();
    }

    ~PlatformFixture()
    {
        this->beating = false;
        if (this->beats.valid())
            this->beats.wait();
        this->loop->stop();
        for (auto &node : this->nodes) {
            if (node)
                node->shutDown();
        }
    }

    static constexpr int controlPort = 28180;

    std::string ipOf(int machine) const { return this->net + std::to_string(10 + machine); }

    NodeSettings settings(int machine) const
    {
        NodeSettings settings;
        settings.instance = "machine-" + std::to_string(machine);
        settings.ip = this->ipOf(machine);
        settings.failureDomain = "a";
        settings.failureDomains = {"a", "b"};
        settings.messengerPort = 27420;
        settings.metricsPort = 27421;
        settings.controlSeeds = this->seeds;
        settings.isFirstStart = true;
        settings.mayLose = 1;
        return settings;
    }

    void startCore(int machine)
    {
        NodeSettings core = this->settings(machine);
        core.servesControl = true;
        core.controlListen = core.ip + ":" + std::to_string(controlPort);
        core.dataFolder = this->folder.path() + "/" + std::to_string(machine);
        this->start(core);
    }

    void startEdge()
    {
        NodeSettings edge = this->settings(9);
        edge.servesCallers = true;
        edge.callersListen = edge.ip + ":28183";
        edge.readinessListen = edge.ip + ":28184";
        this->start(edge);
    }

    void start(const NodeSettings &settings)
    {
        const auto descriptors = nodeDescriptors(settings);
        REQUIRE(descriptors);
        this->nodes.push_back(std::make_unique<Node>(settings, "/nowhere", descriptors.value()));
        REQUIRE(this->nodes.back()->start());
    }

    HttpResponse call(const std::string &address, const std::string &method,
                      const std::string &path, const std::string &body = {},
                      const std::string &key = "key")
    {
        auto answered = std::make_shared<std::promise<Result<HttpResponse>>>();
        auto answer = answered->get_future();
        this->loop->post([this, address, method, path, body, key, answered] {
            HttpClient::Call call{method, path, {}, body};
            call.headers["Host"] = "jobs.example";
            call.headers["X-Api-Key"] = key;
            this->client.call(address, call, monotonicNow() + std::chrono::seconds(3),
                              [answered](Result<HttpResponse> response) {
                                  answered->set_value(std::move(response));
                              });
        });
        const Result<HttpResponse> response = answer.get();
        return response ? response.value() : HttpResponse{0, {}, response.error().message};
    }

    HttpResponse control(const std::string &method, const std::string &path,
                         const std::string &body = {})
    {
        return this->call(this->seeds[1], method, path, body);
    }

    HttpResponse caller(const std::string &method, const std::string &path,
                        const std::string &body = {}, const std::string &key = "key")
    {
        return this->call(this->ipOf(9) + ":28183", method, path, body, key);
    }

    /// Sends the worker's heartbeats from now on.
    void keepBeating()
    {
        this->beating = true;
        this->beats = std::async(std::launch::async, [this] {
            while (this->beating) {
                this->control("PUT", "/instances/i-1", this->worker.heartbeat());
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
            }
        });
    }

    std::string net = ownNetwork();
    TemporaryFolder folder;
    std::vector<std::string> seeds;
    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    HttpClient client{this->loop, HttpClientOptions()};
    FakeTarget worker;
    std::vector<std::unique_ptr<Node>> nodes;
    std::atomic<bool> beating{false};
    std::future<void> beats;
};

} // namespace

TEST_CASE_METHOD(PlatformFixture, "a job goes the whole way through the platform's interfaces",
                 "[wholepath]")
{
    CHECK(this->caller("POST", jobPath, jobBody).status == 503); // no configuration: it never runs
    REQUIRE(
        eventually([&] { return this->control("PUT", "/config", configuration).status == 200; }));
    CHECK(this->control("PUT", "/config", configuration).status == 200); // sent again
    CHECK(this->control("PUT", "/config", "{").status == 400);
    CHECK(this->control("GET", "/config").body == configuration);
    CHECK(this->control("PUT", "/instances/i-2", "{}").status == 400);
    this->keepBeating();
    REQUIRE(eventually([&] { return this->caller("POST", jobPath, jobBody).status == 200; }));
    CHECK(this->caller("POST", jobPath, jobBody).status == 200); // it joins the first
    CHECK(this->caller("POST", "/other/5c0e7a21d94b36f8", jobBody).status == 404);
    CHECK(this->caller("GET", jobPath, "", "wrong").status == 401);
    CHECK(this->caller("GET", "/q/0000000000000001").status == 410);
    CHECK(this->caller("POST", "/q/0000000000000002", "{}").status == 400);
    CHECK(eventually(
        [&] { return this->caller("GET", jobPath).body.find("completed") != std::string::npos; }));
    CHECK(this->worker.starts() == 5);
    CHECK(this->worker.startsOf("5c0e7a21d94b36f8.0.1.1") == 1);
    CHECK(this->caller("GET", "/q/").body == R"({"Pending":0})");
    CHECK(this->call(this->ipOf(9) + ":28184", "GET", "/readiness").status == 200);
}

TEST_CASE_METHOD(PlatformFixture, "an evacuated domain is given nothing until it is opened",
                 "[wholepath]")
{
    REQUIRE(
        eventually([&] { return this->control("PUT", "/config", configuration).status == 200; }));
    this->keepBeating();
    CHECK(this->control("POST", "/evacuation/nowhere").status == 404);
    CHECK(this->control("POST", "/evacuation/").status == 404);
    CHECK(this->control("POST", "/evacuation/a", "{}").status == 400);
    CHECK(this->control("GET", "/evacuation/a").status == 405);
    CHECK(this->control("DELETE", "/evacuation/a").status == 200); // nothing to take back
    CHECK(this->control("POST", "/evacuation/b").status == 200);
    CHECK(this->control("POST", "/evacuation/b").status == 200);
    // One domain is left, and it has the only target.
    REQUIRE(eventually([&] { return this->caller("POST", jobPath, jobBody).status == 200; }));
    CHECK(eventually(
        [&] { return this->caller("GET", jobPath).body.find("completed") != std::string::npos; }));
    CHECK(this->control("POST", "/evacuation/a").status == 200);
    constexpr const char *laterJob = "/q/5c0e7a21d94b36f9";
    const HttpResponse refused = this->caller("POST", laterJob, jobBody);
    CHECK(refused.status == 503);
    CHECK(refused.headers.count("Retry-After") == 1);
    CHECK(this->caller("POST", jobPath, jobBody).status == 200); // accepted before
    CHECK(this->control("DELETE", "/evacuation/a").status == 200);
    REQUIRE(eventually([&] { return this->caller("POST", laterJob, jobBody).status == 200; }));
    CHECK(eventually(
        [&] { return this->caller("GET", laterJob).body.find("completed") != std::string::npos; }));
}

TEST_CASE_METHOD(PlatformFixture, "the configuration and the jobs outlive a machine", "[wholepath]")
{
    // The machine that formed the group, and as a rule leads it, ends after a configuration and a
    // job were acknowledged. The others show the same document, and the job is known and not run
    // again.
    REQUIRE(
        eventually([&] { return this->control("PUT", "/config", configuration).status == 200; }));
    this->keepBeating();
    REQUIRE(eventually([&] { return this->caller("POST", jobPath, jobBody).status == 200; }));
    this->beating = false;
    this->beats.wait();
    this->nodes[0]->shutDown();
    this->nodes[0].reset();
    this->keepBeating();
    CHECK(eventually([&] { return this->control("GET", "/config").body == configuration; }));
    CHECK(eventually(
        [&] { return this->caller("GET", jobPath).body.find("completed") != std::string::npos; }));
    CHECK(this->worker.starts() == 5);
}

TEST_CASE_METHOD(PlatformFixture, "what callers got is seen on the metrics addresses",
                 "[wholepath]")
{
    REQUIRE(
        eventually([&] { return this->control("PUT", "/config", configuration).status == 200; }));
    this->keepBeating();
    REQUIRE(eventually([&] { return this->caller("POST", jobPath, jobBody).status == 200; }));
    REQUIRE(eventually(
        [&] { return this->caller("GET", jobPath).body.find("completed") != std::string::npos; }));
    constexpr const char *waitingJob = "/q/5c0e7a21d94b36f9";
    REQUIRE(this->caller("POST", waitingJob,
                         R"({"TaskSpec": "x", "Steps": [{"TaskCount": 1, "Cpu": 1000,
                             "EstRuntimeMs": 50, "Requirements": "a label that nobody has"}]})")
                .status
            == 200);
    REQUIRE(this->caller("DELETE", waitingJob).status == 200);
    const auto shows = [this](int machine, const std::string &line) {
        const std::string text = this->call(this->ipOf(machine) + ":27421", "GET", "/metrics").body;
        return text.find("\n" + line) != std::string::npos;
    };
    int leaders = 0;
    for (int machine = 1; machine <= 3; ++machine) {
        if (!shows(machine, "guavavalve_replica_role{role=\"leader\"} 1"))
            continue;
        ++leaders;
        CHECK(shows(machine, "guavavalve_workflows_total{state=\"completed\"} 1"));
        CHECK(shows(machine, "guavavalve_workflows_total{state=\"cancelled\"} 1"));
        CHECK(shows(machine, "guavavalve_runs_total{outcome=\"succeeded\"} 5"));
        CHECK(shows(machine, "guavavalve_waiting_seconds_count{class=\"q\",team=\"t\"} 1"));
        CHECK(shows(machine, "guavavalve_workflow_seconds_count{class=\"q\",team=\"t\"} 1"));
        CHECK(shows(machine, "guavavalve_targets{state=\"ready\"} 1"));
        CHECK(shows(machine, "guavavalve_configuration_version 3"));
    }
    CHECK(leaders == 1);
    CHECK(shows(9, "guavavalve_request_seconds_count{outcome=\"answered\"}"));
    CHECK(shows(9, "guavavalve_ready 1"));
}

TEST_CASE_METHOD(PlatformFixture, "a control address takes messages of several megabytes",
                 "[wholepath]")
{
    // An operator's configuration, or the heartbeat of a target with much to tell, is larger than
    // any caller's request. It was refused with 413 on every control address, because these had
    // the callers' bound of 1 MiB; the operator gave up, since a 413 ends its attempts.
    constexpr std::size_t twoMebibytes = 2U << 20U;
    const std::string padding(twoMebibytes, 'x');
    const std::string large =
        R"({"Padding": ")" + padding + "\"," + std::string(configuration).substr(1);
    REQUIRE(eventually([&] { return this->control("PUT", "/config", large).status == 200; }));
    CHECK(this->control("GET", "/config").body == large);
    CHECK(this->caller("POST", jobPath, R"({"TaskSpec": ")" + padding + "\"}").status == 413);
}
