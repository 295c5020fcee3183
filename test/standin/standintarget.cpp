#include "standin/standintarget.h"

#include "runtime/httperror.h"
#include "runtime/httpserver.h"
#include "runtime/timerqueue.h"
#include "standin/announcer.h"
#include "standin/attempttable.h"
#include "standin/faultinjection.h"
#include "standin/startlog.h"
#include "targets/announcementjson.h"
#include "targets/targetcontract.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <chrono>
#include <mutex>
#include <set>

using namespace guavavalve;

namespace standin {

namespace {

constexpr Milliseconds leaseCheckInterval{20};
constexpr auto unlimitedLease = std::chrono::hours(24 * 365);

std::int64_t numberParameter(const HttpRequest &request, const std::string &name)
{
    const std::string text = request.parameter(name);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// The parsed form of "/v1/attempts/TASK/ATTEMPT[/VERB]".
struct Path
{
    AttemptId attempt;
    std::string verb;
};

Result<Path> parsePath(const std::string &path)
{
    const std::string rest = path.substr(std::min(path.size(), attemptsPath.size() + 1));
    const std::size_t slash = rest.find('/');
    const std::size_t second = slash == std::string::npos ? slash : rest.find('/', slash + 1);
    const auto attempt = parseAttemptName(rest.substr(0, second));
    if (!attempt)
        return attempt.error();
    return Path{attempt.value(), second == std::string::npos ? "" : rest.substr(second + 1)};
}

int statusOf(const AttemptView &view)
{
    switch (view.state) {
    case AttemptState::Running:
        return 202;
    case AttemptState::Unknown:
        return 404;
    case AttemptState::NoLease:
        return 503;
    case AttemptState::Ended:
        break;
    }
    const bool refused =
        view.outcome == AttemptOutcome::NeverStarted || view.outcome == AttemptOutcome::Lost;
    return refused ? 409 : 200;
}

HttpResponse attemptResponse(AttemptId attempt, const AttemptView &view)
{
    HttpResponse response;
    response.status = statusOf(view);
    response.contentType = "application/octet-stream";
    response.headers[std::string(attemptHeader)] = attemptName(attempt);
    if (view.state == AttemptState::Ended) {
        response.headers[std::string(outcomeHeader)] = enumName(attemptOutcomeNames, view.outcome);
        response.headers[std::string(answerLengthHeader)] = std::to_string(view.answer.size());
        response.headers[std::string(answerDigestHeader)] = answerDigest(view.answer);
        response.body = view.answer;
    }
    return response;
}

Incarnation incarnationFromTime()
{
    return static_cast<Incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace

struct StandInTarget::Private : std::enable_shared_from_this<StandInTarget::Private>
{
    Private(TimerQueue &timers, StandInOptions chosen)
        : timers(timers)
        , options(std::move(chosen))
        , startLog(this->options.ledgerPath)
    {}

    TimerQueue &timers;
    StandInOptions options;
    StartLog startLog;
    std::shared_ptr<AttemptTable> attempts;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<Announcer> announcer;
    std::atomic<bool> stopped{false};
    std::atomic<std::uint16_t> port{0};
    std::atomic<std::size_t> replies{0};

    std::mutex mutex;
    FaultInjection faults;
    bool departing = false;
    std::vector<AttemptId> revoked;

    Result<void> listen(std::uint16_t wanted);
    void addRoutes(HttpServer &listener);
    void serve(const HttpRequest &request, const HttpReply &reply);
    void answer(const HttpReply &reply, AttemptId attempt, const AttemptView &view);
    void applyFaults(HttpResponse &response, AttemptId attempt,
                     const FaultInjection &injected) const;
    Result<void> control(const std::string &json);
    void refuseFor(Milliseconds time);
    void listenAgain();
    Announcement describe();
    void handleReply(const Announcement &sent, Instant sentAt, const AnnouncementReply &reply);
    void watchLease();
    FaultInjection current()
    {
        const std::lock_guard lock(this->mutex);
        return this->faults;
    }
};

Result<void> StandInTarget::Private::listen(std::uint16_t wanted)
{
    HttpServerOptions serverOptions;
    serverOptions.address = this->options.address;
    serverOptions.port = wanted;
    auto listener = std::make_unique<HttpServer>(serverOptions);
    this->addRoutes(*listener);
    if (auto started = listener->start(); !started)
        return started.error();
    this->port = listener->port();
    this->server = std::move(listener);
    return boost::outcome_v2::success();
}

void StandInTarget::Private::addRoutes(HttpServer &listener)
{
    const std::weak_ptr<Private> weak = this->weak_from_this();
    const auto served = [weak](const HttpRequest &request, const HttpReply &reply) {
        if (auto self = weak.lock())
            self->serve(request, reply);
    };
    listener.route("POST", std::string(attemptsPath), served);
    listener.route("GET", std::string(attemptsPath), served);
    listener.route("POST", "/control", [weak](const HttpRequest &request, const HttpReply &reply) {
        auto self = weak.lock();
        if (!self)
            return;
        const auto done = self->control(request.body);
        reply(done ? HttpResponse{} : errorResponse(done.error()));
    });
}

void StandInTarget::Private::serve(const HttpRequest &request, const HttpReply &reply)
{
    const auto path = parsePath(request.path);
    if (!path) {
        reply(errorResponse(path.error()));
        return;
    }
    const AttemptId attempt = path.value().attempt;
    const std::string &verb = path.value().verb;
    const Milliseconds wait{numberParameter(request, "waitMs")};
    const auto incarnation = static_cast<Incarnation>(numberParameter(request, "incarnation"));
    auto self = this->shared_from_this();
    const AttemptTable::Callback callback = [self, reply, attempt](const AttemptView &view) {
        self->answer(reply, attempt, view);
    };
    if (verb == "start") {
        this->attempts->start(attempt, incarnation, request.body, wait, callback);
    } else if (verb.empty() || verb == "throttle") {
        this->attempts->query(attempt, incarnation, wait, callback);
    } else if ((verb == "stop" || verb == "checkpoint") && this->current().ignoreStop) {
        callback({AttemptState::Running, AttemptOutcome::Failed, {}});
    } else if (verb == "stop" || verb == "checkpoint") {
        callback(this->attempts->stop(attempt, incarnation));
    } else {
        reply(errorResponse(failure(ErrorCode::NotFound, "unknown request for an attempt")));
    }
}

void StandInTarget::Private::applyFaults(HttpResponse &response, AttemptId attempt,
                                         const FaultInjection &injected) const
{
    if (injected.half)
        response.body.resize(response.body.size() / 2);
    if (injected.twice)
        response.body += response.body;
    if (injected.wrongAttempt) {
        attempt.task = TaskId{idValue(attempt.task) + 1};
        response.headers[std::string(attemptHeader)] = attemptName(attempt);
    }
}

void StandInTarget::Private::answer(const HttpReply &reply, AttemptId attempt,
                                    const AttemptView &view)
{
    const FaultInjection injected = this->current();
    if (injected.silent) {
        // Held back longer than any caller waits, like a reply on a connection that has been lost.
        this->timers.runAfter(std::chrono::hours(1), [reply] { reply({}); });
        return;
    }
    HttpResponse response = attemptResponse(attempt, view);
    this->applyFaults(response, attempt, injected);
    int holdMs = injected.lateMs;
    constexpr int reorderDelayMs = 40;
    if (injected.outOfOrder && this->replies++ % 2 == 0)
        holdMs += reorderDelayMs;
    if (holdMs == 0) {
        reply(std::move(response));
        return;
    }
    this->timers.runAfter(Milliseconds(holdMs), [reply, response] { reply(response); });
}

Result<void> StandInTarget::Private::control(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return failure(ErrorCode::InvalidArgument, "the body must be a JSON object");
    int refuseMs = 0;
    try {
        const std::lock_guard lock(this->mutex);
        FaultInjection &injected = this->faults;
        injected.failAll = document.value("failAll", injected.failAll);
        injected.half = document.value("half", injected.half);
        injected.twice = document.value("twice", injected.twice);
        injected.wrongAttempt = document.value("wrongAttempt", injected.wrongAttempt);
        injected.ignoreStop = document.value("ignoreStop", injected.ignoreStop);
        injected.silent = document.value("silent", injected.silent);
        injected.outOfOrder = document.value("outOfOrder", injected.outOfOrder);
        injected.lateMs = document.value("lateMs", injected.lateMs);
        this->departing = document.value("depart", this->departing);
        refuseMs = document.value("refuseMs", 0);
        this->attempts->setFailAll(injected.failAll);
    } catch (const nlohmann::json::exception &problem) {
        return failure(ErrorCode::InvalidArgument, problem.what());
    }
    if (refuseMs > 0)
        this->refuseFor(Milliseconds(refuseMs));
    return boost::outcome_v2::success();
}

void StandInTarget::Private::refuseFor(Milliseconds time)
{
    auto self = this->shared_from_this();
    constexpr Milliseconds replyDelay{50};
    this->timers.runAfter(replyDelay, [self, time] {
        self->server.reset();
        self->timers.runAfter(time, [self] { self->listenAgain(); });
    });
}

void StandInTarget::Private::listenAgain()
{
    constexpr Milliseconds retryInterval{50};
    if (this->stopped || this->listen(this->port))
        return;
    // Another process has taken the port temporarily; retries until it is free.
    auto self = this->shared_from_this();
    this->timers.runAfter(retryInterval, [self] { self->listenAgain(); });
}

Announcement StandInTarget::Private::describe()
{
    Announcement announcement;
    announcement.name = this->options.name;
    announcement.incarnation = this->attempts->incarnation();
    announcement.address = this->options.announcedAddress;
    if (announcement.address.empty())
        announcement.address = this->options.address + ":" + std::to_string(this->port);
    announcement.failureDomain = this->options.failureDomain;
    announcement.rack = this->options.rack;
    announcement.total = this->options.total;
    announcement.running = this->attempts->running();
    announcement.used[ResourceKind::Slots] = static_cast<std::int64_t>(announcement.running.size());
    const std::lock_guard lock(this->mutex);
    announcement.departing = this->departing;
    announcement.revoked = this->revoked;
    return announcement;
}

void StandInTarget::Private::handleReply(const Announcement &sent, Instant sentAt,
                                         const AnnouncementReply &reply)
{
    this->attempts->extendLease(sent.incarnation, sentAt + Milliseconds(reply.leaseMs));
    std::vector<AttemptId> ended;
    if (!this->current().ignoreStop) {
        for (const AttemptId &attempt : reply.revoke) {
            const AttemptView view = this->attempts->stop(attempt, sent.incarnation);
            if (view.state == AttemptState::Ended)
                ended.push_back(attempt);
        }
    }
    for (const AttemptId &attempt : reply.forget)
        this->attempts->forget(attempt);
    const std::lock_guard lock(this->mutex);
    this->revoked = std::move(ended);
}

void StandInTarget::Private::watchLease()
{
    if (this->stopped)
        return;
    this->attempts->checkLease();
    auto self = this->shared_from_this();
    this->timers.runAfter(leaseCheckInterval, [self] { self->watchLease(); });
}

StandInTarget::StandInTarget(TimerQueue &timers, StandInOptions options)
    : d(std::make_shared<Private>(timers, std::move(options)))
{}

StandInTarget::~StandInTarget()
{
    this->d->stopped = true;
    if (this->d->announcer)
        this->d->announcer->stop();
    this->d->server.reset();
}

Result<void> StandInTarget::start()
{
    const StandInOptions &options = this->d->options;
    const Incarnation incarnation =
        options.incarnation != 0 ? options.incarnation : incarnationFromTime();
    AttemptTable::Options tableOptions;
    tableOptions.runMs = options.runMs;
    tableOptions.answerBytes = options.answerBytes;
    tableOptions.slots = options.total[ResourceKind::Slots];
    this->d->attempts = std::make_shared<AttemptTable>(this->d->timers, this->d->startLog,
                                                       tableOptions, incarnation);
    if (auto listening = this->d->listen(options.port); !listening)
        return listening.error();
    if (options.entries.empty()) {
        this->d->attempts->extendLease(incarnation, monotonicNow() + unlimitedLease);
        return boost::outcome_v2::success();
    }
    Announcer::Hooks hooks;
    const std::weak_ptr<Private> weak = this->d;
    hooks.describe = [weak] {
        auto self = weak.lock();
        return self ? self->describe() : Announcement{};
    };
    hooks.onReply = [weak](const Announcement &sent, Instant sentAt,
                           const AnnouncementReply &reply) {
        if (auto self = weak.lock())
            self->handleReply(sent, sentAt, reply);
    };
    hooks.isPaused = [weak] {
        auto self = weak.lock();
        return !self || self->current().silent;
    };
    this->d->announcer = std::make_unique<Announcer>(
        this->d->timers, options.entries, Milliseconds(options.announceMs), std::move(hooks));
    this->d->announcer->start();
    this->d->watchLease();
    return boost::outcome_v2::success();
}

std::uint16_t StandInTarget::port() const
{
    return this->d->port;
}

std::string StandInTarget::address() const
{
    return this->d->options.address + ":" + std::to_string(this->d->port);
}

Incarnation StandInTarget::incarnation() const
{
    return this->d->attempts->incarnation();
}

Result<void> StandInTarget::control(const std::string &json)
{
    return this->d->control(json);
}

} // namespace standin
