// A stand-in worker: tasks under leases, ended runs, fencing, heartbeats, as the users' protocol
// page describes them. Its link to the system can be cut, and its process can crash and restart.
#pragma once

#include "http.h"

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

namespace review {

using Json = nlohmann::json;

/// What happened on the workers, for the record and for the checks.
struct RunSpan
{
    std::string task;
    std::int64_t run = 0;
    std::string worker; // id and start time of the life
    std::int64_t from = 0; // on the driver's steady clock
    std::int64_t to = 0; // 0: still running
    std::string how;
};

class History
{
public:
    std::size_t begun(const std::string &task, std::int64_t run, const std::string &worker)
    {
        const std::lock_guard lock(this->mutex);
        this->spans.push_back({task, run, worker, steadyMs(), 0, ""});
        return this->spans.size() - 1;
    }
    void ended(std::size_t span, const std::string &how)
    {
        const std::lock_guard lock(this->mutex);
        this->spans[span].to = steadyMs();
        this->spans[span].how = how;
    }
    std::vector<RunSpan> all() const
    {
        const std::lock_guard lock(this->mutex);
        return this->spans;
    }

private:
    mutable std::mutex mutex;
    std::vector<RunSpan> spans;
};

struct WorkerOptions
{
    std::string id;
    std::string ip;
    int port = 0;
    std::string zone;
    std::string service;
    std::vector<std::string> labels;
    std::int64_t cpu = 16000;
    std::int64_t memMb = 32768;
    std::int64_t heartbeatMs = 1500;
    std::int64_t stopMs = 150; // how long a stop takes; below StopTimeoutMs
    std::int64_t maxHoldMs = 6000;
    std::vector<std::string> control; // addresses of the nodes that serve control
    int controlPort = 0;
};

class Worker
{
public:
    Worker(WorkerOptions settings, History &history, std::function<void(const std::string &)> log)
        : options(std::move(settings))
        , history(history)
        , log(std::move(log))
        , id(this->options.id)
    {
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in at = addressOf(this->options.ip, this->options.port);
        if (bind(this->listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0
            || listen(this->listener, 512) != 0)
            throw std::runtime_error("cannot listen at " + this->options.ip);
        this->threads.emplace_back([this] { this->acceptLoop(); });
        this->threads.emplace_back([this] { this->clockLoop(); });
        this->threads.emplace_back([this] { this->heartbeatLoop(); });
    }

    ~Worker()
    {
        this->isClosing = true;
        this->changed.notify_all();
        shutdown(this->listener, SHUT_RDWR);
        for (std::thread &thread : this->threads)
            thread.join();
        while (this->openConnections > 0)
            sleepMs(5);
        ::close(this->listener);
    }

    /// Starts a life. Nothing of an earlier one is kept.
    void start(const std::string &newId)
    {
        const std::lock_guard lock(this->mutex);
        this->id = newId;
        this->born = std::max(unixMs(), this->born + 1);
        this->clockBase = steadyMs() - 1000;
        this->runs.clear();
        this->ended.clear();
        this->endedHere.clear();
        this->endCount = 0;
        this->fence = 0;
        this->sequence = 0;
        this->state = "ready";
        this->isUp = true;
        ++this->life;
        this->nextHeartbeat = steadyMs();
        this->log("worker " + this->name() + " starts");
        this->changed.notify_all();
    }

    /// Ends the process. Connections are reset, unless the link is cut: then nobody notices.
    void crash()
    {
        const std::lock_guard lock(this->mutex);
        this->log("worker " + this->name() + " crashes");
        for (auto &[task, run] : this->runs)
            this->history.ended(run.span, "crashed");
        this->runs.clear();
        this->isUp = false;
        ++this->life;
        this->changed.notify_all();
    }

    /// Cuts the link between this worker and the system for \a ms, both ways and without a sign.
    void cut(std::int64_t ms)
    {
        const std::lock_guard lock(this->mutex);
        this->cutUntil = steadyMs() + ms;
        this->log("link of worker " + this->name() + " is cut for " + std::to_string(ms) + " ms");
        this->changed.notify_all();
    }

    void setState(const std::string &newState)
    {
        const std::lock_guard lock(this->mutex);
        this->state = newState;
    }
    /// Pauses or resumes the regular heartbeats; the caller then sends them itself.
    void setManualHeartbeats(bool isManual)
    {
        const std::lock_guard lock(this->mutex);
        this->manualHeartbeats = isManual;
    }
    /// The body of the next heartbeat; each call takes a new Sequence.
    std::string nextHeartbeatBody()
    {
        const std::lock_guard lock(this->mutex);
        return this->heartbeatBody();
    }
    std::string heartbeatPath() const { return "/instances/" + this->id; }
    std::size_t running() const
    {
        const std::lock_guard lock(this->mutex);
        return this->runs.size();
    }
    /// Tasks that run here now, with the time since their start.
    std::map<std::string, std::int64_t> tasks() const
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, std::int64_t> found;
        for (const auto &[task, run] : this->runs)
            found[task] = steadyMs() - run.from;
        return found;
    }
    std::string currentId() const
    {
        const std::lock_guard lock(this->mutex);
        return this->id;
    }
    /// Called, without a lock, when an order to start \a task has been read and before anything is
    /// done about it. If it returns true, the link is cut at this moment: the order is carried out,
    /// and its answer is lost.
    std::function<bool(Worker &, const std::string &task)> onStartOrder;

private:
    struct Run
    {
        std::int64_t run = 0;
        std::int64_t from = 0;
        std::int64_t stopAt = 0; // 0: not being stopped
        std::int64_t workMs = 0; // until it is done; 0: it lasts
        std::size_t span = 0;
    };
    struct Answer
    {
        int status = 200;
        Json body = Json::object();
    };

    std::string name() const { return this->id + "@" + std::to_string(this->born); }
    std::int64_t clockMs() const { return steadyMs() - this->clockBase; }
    bool isCut() const { return steadyMs() < this->cutUntil; }

    void endRun(const std::string &task, const std::string &how)
    {
        const Run run = this->runs.at(task);
        this->runs.erase(task);
        this->history.ended(run.span, how);
        this->endedHere[task] = std::max(this->endedHere[task], run.run);
        this->ended.push_back(Json::array({++this->endCount, task, run.run, how, ""}));
        this->changed.notify_all();
    }

    void clockLoop()
    {
        while (!this->isClosing) {
            {
                const std::lock_guard lock(this->mutex);
                std::vector<std::pair<std::string, std::string>> over;
                const std::int64_t now = steadyMs();
                for (const auto &[task, run] : this->runs) {
                    if (this->clockMs() > this->leaseUntil)
                        over.emplace_back(task, "lapsed");
                    else if (run.stopAt != 0 && now >= run.stopAt)
                        over.emplace_back(task, "stopped");
                    else if (run.stopAt == 0 && run.workMs != 0 && now >= run.from + run.workMs)
                        over.emplace_back(task, "done");
                }
                for (const auto &[task, how] : over)
                    this->endRun(task, how);
            }
            sleepMs(5);
        }
    }

    void extendLease(const Json &body)
    {
        if (!body.contains("ExpiresAtMs"))
            return;
        const std::int64_t asked = std::min(body["ExpiresAtMs"].get<std::int64_t>(),
                                            this->clockMs() + this->options.maxHoldMs);
        const bool isEmpty = this->runs.empty();
        this->leaseUntil = isEmpty ? asked : std::max(this->leaseUntil, asked);
    }

    Json lists(std::int64_t lastSeen)
    {
        while (!this->ended.empty() && this->ended.front()[0].get<std::int64_t>() <= lastSeen)
            this->ended.erase(this->ended.begin());
        Json running = Json::array();
        for (const auto &[task, run] : this->runs) {
            const std::int64_t percent = run.workMs == 0
                ? 100
                : std::min<std::int64_t>(99, 100 * (steadyMs() - run.from) / run.workMs);
            running.push_back(Json::array({task, run.run, "", percent, 100}));
        }
        Json ends = Json::array();
        for (std::size_t i = 0; i < this->ended.size() && i < 500; ++i)
            ends.push_back(this->ended[i]);
        return {{"Running", running}, {"EndedRuns", ends}, {"born", this->born}};
    }

    /// The stand-in's task specifications: "work MS", or "lasts".
    static std::int64_t workOf(const std::string &spec)
    {
        return spec.compare(0, 5, "work ") == 0 ? std::stoll(spec.substr(5)) : 0;
    }

    Answer refuse(const std::string &reason)
    {
        return {409, {{"ClockMs", this->clockMs()}, {"Reason", reason}}};
    }

    Answer serveStart(const Json &body)
    {
        const std::string task = body["TaskId"];
        const std::int64_t run = body["RunId"];
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.run == run) {
            this->extendLease(body);
            return {200, {{"ClockMs", this->clockMs()}}};
        }
        const auto over = this->endedHere.find(task);
        if ((over != this->endedHere.end() && run <= over->second)
            || (known != this->runs.end() && run < known->second.run)) {
            this->extendLease(body);
            return this->refuse("old");
        }
        if (body["ExpiresAtMs"].get<std::int64_t>() <= this->clockMs())
            return this->refuse("late");
        this->extendLease(body);
        Run begun;
        begun.run = run;
        begun.from = steadyMs();
        begun.workMs = workOf(body.value("TaskSpec", ""));
        begun.span = this->history.begun(task, run, this->name());
        this->log("worker " + this->name() + " starts " + task + " run " + std::to_string(run)
                  + ", fencing token " + std::to_string(this->fence));
        this->runs[task] = begun;
        return {200, {{"ClockMs", this->clockMs()}}};
    }

    Answer serveStop(const Json &body)
    {
        const std::string task = body["TaskId"];
        const std::int64_t run = body["RunId"];
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.run <= run) {
            if (known->second.stopAt == 0)
                known->second.stopAt = steadyMs() + this->options.stopMs;
        } else if (known == this->runs.end()) {
            this->endedHere[task] = std::max(this->endedHere[task], run);
        }
        return {200, {{"ClockMs", this->clockMs()}}};
    }

    Answer serveHold(const Json &body, std::unique_lock<std::mutex> &lock, std::uint64_t ofLife)
    {
        this->extendLease(body);
        const std::int64_t lastSeen = body.value("LastSeen", std::int64_t{0});
        this->lists(lastSeen);
        const std::int64_t until = steadyMs() + std::min<std::int64_t>(2000, body.value("WaitMs", 0));
        while (this->ended.empty() && steadyMs() < until && this->life == ofLife
               && !this->isClosing)
            this->changed.wait_for(lock, std::chrono::milliseconds(20));
        Json answer = this->lists(lastSeen);
        answer["ClockMs"] = this->clockMs();
        return {200, answer};
    }

    Answer serve(const Message &request, std::unique_lock<std::mutex> &lock, std::uint64_t ofLife)
    {
        const std::string path = request.word(1);
        if (path == "/health")
            return {};
        if (request.header("x-expected-instance") != this->id)
            return {421, {{"ClockMs", this->clockMs()}}};
        const Json body = Json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return {400, {{"ClockMs", this->clockMs()}}};
        const std::int64_t token = body.value("FencingToken", std::int64_t{0});
        if (token < this->fence)
            return this->refuse("fence");
        this->fence = token;
        if (path == "/run-start")
            return this->serveStart(body);
        if (path == "/run-stop")
            return this->serveStop(body);
        if (path == "/hold")
            return this->serveHold(body, lock, ofLife);
        return {404, Json::object()};
    }

    void acceptLoop()
    {
        while (!this->isClosing) {
            const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++this->openConnections;
            std::thread([this, fd] {
                this->connection(fd);
                --this->openConnections;
            }).detach();
        }
    }

    /// The first moment, \a stepsMs after \a from, at which the link carries packets again.
    std::int64_t firstAfterCut(std::int64_t from, const std::vector<std::int64_t> &stepsMs)
    {
        for (const std::int64_t step : stepsMs) {
            if (from + step >= this->cutUntil)
                return from + step;
        }
        return from + 100000;
    }

    /// A packet that opens a connection while the link is cut is lost and is sent again after 1 s
    /// and 3 s, as by the kernel. A connection to a life that has crashed behind the cut is reset
    /// once a byte, or a keep-alive probe (each second of silence), arrives after the cut.
    void connection(int fd)
    {
        std::unique_lock lock(this->mutex);
        const std::int64_t opened = steadyMs();
        const std::int64_t reachedAt = this->firstAfterCut(opened, {0, 1000, 3000});
        while (steadyMs() < reachedAt && !this->isClosing && isPeerThere(fd)) {
            lock.unlock();
            sleepMs(5);
            lock.lock();
        }
        const std::uint64_t ofLife = this->life;
        if (!this->isUp || this->isClosing || !isPeerThere(fd)) {
            resetSocket(fd);
            return;
        }
        std::string buffer;
        std::int64_t lastByteAt = steadyMs();
        while (!this->isClosing) {
            if (this->life != ofLife) {
                this->endDeadConnection(fd, lastByteAt, lock);
                return;
            }
            lock.unlock();
            pollfd one{fd, POLLIN, 0};
            const int ready = poll(&one, 1, 5);
            lock.lock();
            if (ready <= 0 || this->isCut() || this->life != ofLife)
                continue;
            Message request;
            lock.unlock();
            const bool isRead = readMessage(fd, buffer, request, steadyMs() + 2000);
            lock.lock();
            if (!isRead)
                break;
            lastByteAt = steadyMs();
            if (this->life != ofLife)
                continue;
            bool isCutNow = false;
            if (request.word(1) == "/run-start" && this->onStartOrder) {
                const Json body = Json::parse(request.body, nullptr, false);
                const std::string task = body.value("TaskId", "");
                lock.unlock();
                isCutNow = this->onStartOrder(*this, task);
                lock.lock();
            }
            const Answer answer = this->serve(request, lock, ofLife);
            if (this->life != ofLife || isCutNow)
                continue;
            while (this->isCut() && this->life == ofLife && !this->isClosing) {
                lock.unlock();
                sleepMs(5);
                lock.lock();
            }
            if (this->life != ofLife)
                continue;
            lock.unlock();
            const bool isSent = sendAll(fd, responseText(answer.status, answer.body.dump()));
            lock.lock();
            if (!isSent)
                break;
        }
        ::close(fd);
    }

    void endDeadConnection(int fd, std::int64_t lastByteAt, std::unique_lock<std::mutex> &lock)
    {
        std::int64_t probe = lastByteAt;
        while (!this->isClosing && isPeerThere(fd)) {
            if (!this->isCut()) {
                // Without a cut the crash itself resets the connection.
                if (this->cutUntil + 3000 < steadyMs() || hasBytes(fd))
                    break;
                while (probe < this->cutUntil)
                    probe += 1000;
                if (steadyMs() >= probe)
                    break;
            }
            lock.unlock();
            sleepMs(5);
            lock.lock();
        }
        resetSocket(fd);
    }

    static bool hasBytes(int fd)
    {
        char byte = 0;
        return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
    }
    static bool isPeerThere(int fd)
    {
        char byte = 0;
        const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

    std::string heartbeatBody()
    {
        return Json{{"Service", this->options.service},
                    {"Address", this->options.ip + ":" + std::to_string(this->options.port)},
                    {"Zone", this->options.zone},
                    {"Version", "v1"},
                    {"Slots", 8},
                    {"State", this->state},
                    {"ColdRemainingMs", 0},
                    {"Capacity",
                     {{"Cpu", this->options.cpu}, {"MemMb", this->options.memMb}, {"Gpus", 0}}},
                    {"Labels", this->options.labels},
                    {"ClockMs", this->clockMs()},
                    {"Sequence", ++this->sequence},
                    {"born", this->born}}
            .dump();
    }

    /// Reports at its start and then each heartbeatMs; after a second without a 2xx it tries the
    /// next node.
    void heartbeatLoop()
    {
        std::size_t node = std::hash<std::string>()(this->options.id) % this->options.control.size();
        while (!this->isClosing) {
            std::unique_lock lock(this->mutex);
            const bool isDue =
                this->isUp && !this->manualHeartbeats && steadyMs() >= this->nextHeartbeat;
            if (!isDue) {
                lock.unlock();
                sleepMs(5);
                continue;
            }
            const std::uint64_t ofLife = this->life;
            const std::int64_t began = steadyMs();
            const std::string body = this->heartbeatBody();
            const std::string path = this->heartbeatPath();
            if (began < this->cutUntil) {
                // The connection opens with the packet that is sent again after 1 s; by then the
                // worker has turned to the next node.
                while (steadyMs() < began + 1000 && this->life == ofLife && !this->isClosing) {
                    lock.unlock();
                    sleepMs(5);
                    lock.lock();
                }
                ++node;
                continue;
            }
            lock.unlock();
            const std::string &to = this->options.control[node % this->options.control.size()];
            const Message answer =
                httpCall(to, this->options.controlPort, "PUT", path, {}, body, 1000);
            lock.lock();
            if (this->life != ofLife)
                continue;
            if (answer.status / 100 == 2) {
                this->nextHeartbeat = began + this->options.heartbeatMs;
            } else {
                ++node;
                this->nextHeartbeat = steadyMs() + 20;
            }
        }
    }

    WorkerOptions options;
    History &history;
    std::function<void(const std::string &)> log;
    int listener = -1;
    std::vector<std::thread> threads;
    std::atomic<bool> isClosing{false};
    std::atomic<int> openConnections{0};

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::string id;
    std::int64_t born = 0;
    std::int64_t clockBase = 0;
    std::uint64_t life = 0; // counts starts and crashes
    bool isUp = false;
    std::int64_t cutUntil = 0;
    std::map<std::string, Run> runs;
    std::vector<Json> ended;
    std::map<std::string, std::int64_t> endedHere; // highest run that was stopped or has ended
    std::int64_t endCount = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntil = 0;
    std::int64_t sequence = 0;
    std::string state = "ready";
    bool manualHeartbeats = false;
    std::int64_t nextHeartbeat = 0;
};

} // namespace review
