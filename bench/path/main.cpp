#include "loadgenerator.h"
#include "targets/targetcontract.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cpprest/http_client.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries, {}, "comma-separated entries (ip:port)");
ABSL_FLAG(std::string, target, "", "stand-in target (ip:port) for the direct phases");
ABSL_FLAG(uint64_t, incarnation, 1, "incarnation of the stand-in target");
ABSL_FLAG(std::string, key, "", "key that authenticates the callers");
ABSL_FLAG(double, rate, 200, "requests per second in the open loop");
ABSL_FLAG(int, length_ms, 5000, "duration of each phase");
ABSL_FLAG(int, in_flight, 64, "concurrent requests in the closed loop");
ABSL_FLAG(std::string, only, "", "run only the phase with this name");

using namespace guavavalve;

namespace {

constexpr int okStatus = 200;

RequestOutcome outcomeOf(const web::http::http_response &response, const std::string &body)
{
    if (response.status_code() == okStatus)
        return RequestOutcome::Answered;
    const bool notRun = body.find("\"ran\":\"no\"") != std::string::npos;
    return notRun ? RequestOutcome::Refused : RequestOutcome::Unknown;
}

void send(web::http::client::http_client &client, const web::http::http_request &request,
          const std::function<void(RequestOutcome)> &done)
{
    client.request(request)
        .then([done](const web::http::http_response &response) {
            return response.extract_vector().then(
                [done, response](const std::vector<unsigned char> &body) {
                    done(outcomeOf(response, std::string(body.begin(), body.end())));
                });
        })
        .then([done](const pplx::task<void> &task) {
            try {
                task.get();
            } catch (const std::exception &) {
                done(RequestOutcome::Unknown);
            }
        });
}

using Clients = std::vector<std::shared_ptr<web::http::client::http_client>>;

Clients connect(const std::vector<std::string> &addresses)
{
    Clients clients;
    for (const std::string &address : addresses)
        clients.push_back(std::make_shared<web::http::client::http_client>("http://" + address));
    return clients;
}

RequestSender throughEntries(const Clients &clients, const std::string &key)
{
    return [clients, key](std::uint64_t sequence, const std::function<void(RequestOutcome)> &done) {
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri("/v1/jobs?wait=true");
        request.headers().add("Authorization", "Bearer " + key);
        request.headers().add("Guavavalve-Class", "prompt");
        request.headers().add("Guavavalve-Start-Within-Ms", "10000");
        request.set_body("status of coil line " + std::to_string(sequence));
        send(*clients[sequence % clients.size()], request, done);
    };
}

RequestSender directly(const Clients &clients, std::uint64_t incarnation)
{
    // These task numbers lie beyond those that any shard gives to jobs. The counter is shared by
    // all phases, so that no phase reuses a number.
    static std::atomic<std::uint64_t> nextTask{std::uint64_t{0xfe} << 56U};
    return [clients, incarnation](std::uint64_t sequence,
                                  const std::function<void(RequestOutcome)> &done) {
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri(std::string(attemptsPath) + "/" + std::to_string(nextTask++)
                                + "/1/start?waitMs=10000&incarnation="
                                + std::to_string(incarnation));
        request.set_body("status of coil line " + std::to_string(sequence));
        send(*clients[0], request, done);
    };
}

void report(const std::string &phase, const LoadResult &result)
{
    std::printf("%-28s sent %6zu answered %6zu refused %4zu unknown %4zu  %8.1f/s  "
                "median %7.2f ms  p99 %7.2f ms  longest gap %7.1f ms\n",
                phase.c_str(), result.sent, result.answered, result.refused, result.unknown,
                result.perSecond(), result.percentile(0.5), result.percentile(0.99),
                result.longestGapMs);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "compares the latency and throughput of a running cell with direct requests to a target");
    absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> entries = absl::GetFlag(FLAGS_entries);
    const Clients all = connect(entries);
    const Clients one(all.begin(), all.begin() + std::min<std::size_t>(1, all.size()));
    const Clients target = connect({absl::GetFlag(FLAGS_target)});
    const std::string key = absl::GetFlag(FLAGS_key);
    const double rate = absl::GetFlag(FLAGS_rate);
    const Milliseconds length(absl::GetFlag(FLAGS_length_ms));
    const auto inFlight = static_cast<std::size_t>(absl::GetFlag(FLAGS_in_flight));
    const std::string only = absl::GetFlag(FLAGS_only);

    const RequestSender direct = directly(target, absl::GetFlag(FLAGS_incarnation));
    struct Phase
    {
        std::string name;
        std::function<LoadResult()> run;
    };
    const std::vector<Phase> phases = {
        {"open-direct", [&] { return runOpenLoop(direct, rate, length); }},
        {"open-1-entry", [&] { return runOpenLoop(throughEntries(one, key), rate, length); }},
        {"open-all-entries", [&] { return runOpenLoop(throughEntries(all, key), rate, length); }},
        {"open-direct-again", [&] { return runOpenLoop(direct, rate, length); }},
        {"closed-direct", [&] { return runClosedLoop(direct, inFlight, length); }},
        {"closed-1-entry",
         [&] { return runClosedLoop(throughEntries(one, key), inFlight, length); }},
        {"closed-all-entries",
         [&] { return runClosedLoop(throughEntries(all, key), inFlight, length); }},
    };
    for (const Phase &phase : phases) {
        if (only.empty() || only == phase.name)
            report(phase.name, phase.run());
    }
    return 0;
}
