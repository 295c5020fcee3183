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

/// A stand-in for one of the platform's workers: starts what it is told, ends it with success after
/// a while, and lists both. It remembers each task's starts.
class FakeTarget
{
public:
    FakeTarget(std::string name, const std::string &address);

    const std::string &name() const { return this->ownName; }
    std::string address() const;
    /// Its heartbeat, as the body of a call.
    std::string heartbeat();
    std::size_t startsOf(const std::string &task) const;
    std::size_t starts() const;

private:
    HttpResponse start(const nlohmann::json &body);
    HttpResponse stop(const nlohmann::json &body);
    HttpResponse hold(const nlohmann::json &body);
    std::int64_t clockMs() const;
    nlohmann::json envelope() const;

    std::string ownName;
    Instant born = monotonicNow();
    std::int64_t bornAtMs = 1700000000000;
    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    mutable std::mutex mutex;
    std::map<std::string, std::int64_t> running; ///< task to run
    std::vector<nlohmann::json> ends;
    std::uint64_t lastEnd = 0;
    std::uint64_t sequence = 0;
    std::multiset<std::string> started;
    std::string listenIp;
    HttpServer server;
};

} // namespace guavavalve::platform
