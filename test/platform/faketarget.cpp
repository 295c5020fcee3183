#include "platform/faketarget.h"

#include <algorithm>
#include <utility>

namespace guavavalve::platform {

namespace {

constexpr Milliseconds taskDuration{50};

HttpServerOptions listenOn(const std::string &address, std::shared_ptr<IoLoop> loop)
{
    HttpServerOptions options;
    options.address = address;
    options.loop = std::move(loop);
    return options;
}

} // namespace

FakeTarget::FakeTarget(std::string name, const std::string &address)
    : targetName(std::move(name))
    , listenIp(address)
    , server(listenOn(address, this->loop))
{
    const auto serve = [this](const char *path, auto handler) {
        this->server.route("POST", path,
                           [handler](const HttpRequest &request, const HttpReply &reply) {
                               reply(handler(nlohmann::json::parse(request.body)));
                           });
    };
    serve("/run-start", [this](const nlohmann::json &body) { return this->start(body); });
    serve("/run-stop", [this](const nlohmann::json &body) { return this->stop(body); });
    serve("/hold", [this](const nlohmann::json &body) { return this->hold(body); });
    if (!this->server.start())
        std::abort();
}

std::string FakeTarget::address() const
{
    return this->listenIp + ":" + std::to_string(this->server.port());
}

std::int64_t FakeTarget::clockMs() const
{
    return 1 + std::chrono::duration_cast<Milliseconds>(monotonicNow() - this->startTime).count();
}

nlohmann::json FakeTarget::commonFields() const
{
    return {{"ClockMs", this->clockMs()}, {"born", this->startedAtMs}};
}

std::string FakeTarget::heartbeat()
{
    const std::lock_guard lock(this->mutex);
    return nlohmann::json{{"Service", "s"},
                          {"Address", this->address()},
                          {"Zone", "a"},
                          {"Version", "v1"},
                          {"State", "ready"},
                          {"Sequence", ++this->sequence},
                          {"Capacity", {{"Cpu", 8000}, {"MemMb", 8000}}},
                          {"Labels", {"a", "r1-1"}},
                          {"born", this->startedAtMs}}
        .dump();
}

HttpResponse FakeTarget::start(const nlohmann::json &body)
{
    const std::lock_guard lock(this->mutex);
    const std::string task = body.at("TaskId");
    this->started.insert(task);
    this->running[task] = body.at("RunId");
    this->loop->runAfter(taskDuration, [this, task] {
        const std::lock_guard again(this->mutex);
        const auto found = this->running.find(task);
        if (found == this->running.end())
            return;
        this->ends.push_back({++this->lastEnd, task, found->second, "done", ""});
        this->running.erase(found);
    });
    return {200, {}, this->commonFields().dump()};
}

HttpResponse FakeTarget::stop(const nlohmann::json &body)
{
    const std::lock_guard lock(this->mutex);
    const std::string task = body.at("TaskId");
    if (const auto found = this->running.find(task); found != this->running.end()) {
        this->ends.push_back({++this->lastEnd, task, found->second, "stopped", ""});
        this->running.erase(found);
    }
    return {200, {}, this->commonFields().dump()};
}

HttpResponse FakeTarget::hold(const nlohmann::json &body)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t seen = body.at("LastSeen");
    this->ends.erase(std::remove_if(this->ends.begin(), this->ends.end(),
                                    [seen](const nlohmann::json &end) {
                                        return end[0].get<std::uint64_t>() <= seen;
                                    }),
                     this->ends.end());
    nlohmann::json answer = this->commonFields();
    answer["Running"] = nlohmann::json::array();
    for (const auto &[task, run] : this->running)
        answer["Running"].push_back({task, run, "", 50});
    answer["EndedRuns"] = this->ends;
    return {200, {}, answer.dump()};
}

std::size_t FakeTarget::startsOf(const std::string &task) const
{
    const std::lock_guard lock(this->mutex);
    return this->started.count(task);
}

std::size_t FakeTarget::starts() const
{
    const std::lock_guard lock(this->mutex);
    return this->started.size();
}

} // namespace guavavalve::platform
