#pragma once

#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace guavavalve::platform {

/// A target of the platform: accepts every start, ends each run with success after a short time,
/// and lists the running and the ended runs. Counts the starts of each task.
class FakeTarget
{
public:
    FakeTarget(std::string name, const std::string &address);

    const std::string &name() const { return this->targetName; }
    std::string address() const;
    /// The body of its next heartbeat.
    std::string heartbeat();
    std::size_t startsOf(const std::string &task) const;
    std::size_t starts() const;

private:
    HttpResponse start(const nlohmann::json &body);
    HttpResponse stop(const nlohmann::json &body);
    HttpResponse hold(const nlohmann::json &body);
    std::int64_t clockMs() const;
    nlohmann::json commonFields() const;

    std::string targetName;
    Instant startTime = monotonicNow();
    std::int64_t startedAtMs = 1700000000000;
    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t> running; ///< run number by task name
    std::vector<nlohmann::json> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t sequence = 0;
    std::multiset<std::string> started;
    std::string listenIp;
    HttpServer server;
};

} // namespace guavavalve::platform
