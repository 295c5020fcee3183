#include "callers/callerservice.h"

#include "callers/answerfetch.h"
#include "callers/callercontract.h"
#include "callers/jobreplies.h"
#include "callers/openrequests.h"
#include "callers/submitparsing.h"
#include "callers/waitingcall.h"
#include "controller/controllerclient.h"
#include "runtime/httperror.h"
#include "runtime/httpserver.h"
#include "runtime/timerqueue.h"
#include "targets/dispatcher.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <charconv>
#include <string>
#include <utility>

namespace guavavalve {

namespace {

constexpr Milliseconds retryAfterDelay{1000};
constexpr std::string_view answerSuffix = "/answer";
constexpr std::string_view bearerPrefix = "Bearer ";

HttpResponse acceptedResponse(const SubmitReply &accepted)
{
    const std::string job = std::to_string(idValue(accepted.job));
    HttpResponse response;
    response.status = 202;
    response.headers["Location"] = std::string(jobsPath) + "/" + job;
    response.headers[std::string(jobHeader)] = job;
    response.body = nlohmann::json{{"job", job}, {"joined", accepted.joined}}.dump();
    return response;
}

/// The part of \a path after "/v1/jobs/".
std::string_view jobPathSuffix(std::string_view path)
{
    return path.size() > jobsPath.size() ? path.substr(jobsPath.size() + 1) : std::string_view();
}

} // namespace

struct CallerService::Private : std::enable_shared_from_this<CallerService::Private>
{
    /// An authenticated request that has not been replied to yet.
    struct Request
    {
        HttpRequest http;
        HttpReply reply;
        CallerIdentity caller;
        Instant received;
        bool waits = false; ///< reply only once the job has finished
    };
    using Handler = void (Private::*)(Request &);

    Private(const Dependencies &chosen, KeyCheck check, CallerServiceOptions given)
        : context{chosen.controller, chosen.dispatcher, chosen.targets, chosen.timers}
        , keyCheck(std::move(check))
        , options(std::move(given))
        , openRequests(this->options.maxOpenPerKey)
    {}

    WaitingCall::Context context;
    KeyCheck keyCheck;
    CallerServiceOptions options;
    OpenRequests openRequests;
    std::atomic<std::size_t> accepted{0};
    std::atomic<std::size_t> joined{0};
    std::atomic<std::size_t> answered{0};
    std::atomic<std::size_t> refused{0};
    std::atomic<std::size_t> failed{0};
    std::atomic<std::size_t> unknown{0};

    void addRoute(HttpServer &server, const std::string &method, Handler handler);
    Result<CallerIdentity> authenticate(const HttpRequest &request) const;
    void admit(HttpRequest http, const HttpReply &reply, Handler handler);
    void submit(Request &request);
    void onSubmitted(const Request &request, const SubmitRequest &submit,
                     Result<SubmitReply> result);
    void wait(const Request &request, const SubmitRequest &submit, SubmitReply accepted);
    void handleGet(Request &request);
    void status(const Request &request, JobId job);
    void answer(const Request &request, JobId job);
    void sendAnswer(const HttpReply &reply, std::size_t index, const JobStatus &status);
    void cancel(Request &request);
    void count(Ran ran);
    void fail(const HttpReply &reply, const Error &error);
    Instant controllerDeadline() const { return monotonicNow() + this->options.controllerTimeout; }
};

void CallerService::Private::addRoute(HttpServer &server, const std::string &method,
                                      Handler handler)
{
    server.route(
        method, std::string(jobsPath),
        [self = this->shared_from_this(), handler](HttpRequest http, const HttpReply &reply) {
            self->admit(std::move(http), reply, handler);
        });
}

Result<CallerIdentity> CallerService::Private::authenticate(const HttpRequest &request) const
{
    const std::string authorization = request.header("Authorization");
    if (authorization.compare(0, bearerPrefix.size(), bearerPrefix) != 0)
        return failure(ErrorCode::Unauthenticated,
                       "send the key in the header \"Authorization: Bearer KEY\"");
    return this->keyCheck(std::string_view(authorization).substr(bearerPrefix.size()));
}

void CallerService::Private::admit(HttpRequest http, const HttpReply &reply, Handler handler)
{
    auto caller = this->authenticate(http);
    if (!caller) {
        this->fail(reply, caller.error());
        return;
    }
    const std::string keyId = caller.value().keyId;
    if (!this->openRequests.open(keyId)) {
        Error error = failure(ErrorCode::LimitExceeded, "this key has too many open requests");
        error.retryAfter = retryAfterDelay;
        this->fail(reply, error);
        return;
    }
    Request request;
    request.waits = http.parameter("wait") == "true";
    request.http = std::move(http);
    request.caller = std::move(caller).value();
    request.received = monotonicNow();
    request.reply = [self = this->shared_from_this(), reply, keyId](HttpResponse response) {
        self->openRequests.close(keyId);
        reply(std::move(response));
    };
    (this->*handler)(request);
}

void CallerService::Private::submit(Request &request)
{
    if (!jobPathSuffix(request.http.path).empty()) {
        this->fail(request.reply,
                   failure(ErrorCode::NotFound, "jobs must be submitted with POST to /v1/jobs"));
        return;
    }
    auto parsed = parseSubmit(std::move(request.http), request.caller, this->options.entry);
    if (!parsed) {
        this->fail(request.reply, parsed.error());
        return;
    }
    auto self = this->shared_from_this();
    SubmitRequest submit = std::move(parsed).value();
    std::string payload = std::move(submit.payload);
    const SubmitRequest withoutPayload = submit;
    submit.payload = std::move(payload);
    this->context.controller.submit(std::move(submit), this->controllerDeadline(),
                                    [self, request, withoutPayload](Result<SubmitReply> result) {
                                        self->onSubmitted(request, withoutPayload,
                                                          std::move(result));
                                    });
}

void CallerService::Private::onSubmitted(const Request &request, const SubmitRequest &submit,
                                         Result<SubmitReply> result)
{
    if (!result) {
        this->fail(request.reply, result.error());
        return;
    }
    SubmitReply accepted = std::move(result).value();
    ++(accepted.joined ? this->joined : this->accepted);
    if (request.waits) {
        this->wait(request, submit, std::move(accepted));
        return;
    }
    request.reply(acceptedResponse(accepted));
    this->context.dispatcher.dispatch(std::move(accepted.dispatches));
}

void CallerService::Private::wait(const Request &request, const SubmitRequest &submit,
                                  SubmitReply accepted)
{
    const Milliseconds longest = submit.finishWithinMs > 0
        ? std::min(Milliseconds(submit.finishWithinMs), this->options.maxWait)
        : this->options.maxWait;
    auto self = this->shared_from_this();
    auto call = std::make_shared<WaitingCall>(
        this->context, submit.team, submit.tasks, request.received, request.received + longest,
        [self, reply = request.reply](const HttpResponse &response, std::optional<Ran> ran) {
            if (ran)
                self->count(*ran);
            else
                ++self->answered;
            reply(response);
        });
    call->start(std::move(accepted));
}

void CallerService::Private::handleGet(Request &request)
{
    std::string_view part = jobPathSuffix(request.http.path);
    const bool wantsAnswer = part.size() > answerSuffix.size()
        && part.substr(part.size() - answerSuffix.size()) == answerSuffix;
    if (wantsAnswer)
        part.remove_suffix(answerSuffix.size());
    const auto job = parseJobId(std::string(part));
    if (!job)
        this->fail(request.reply, job.error());
    else if (wantsAnswer)
        this->answer(request, job.value());
    else
        this->status(request, job.value());
}

void CallerService::Private::status(const Request &request, JobId job)
{
    const bool awaitEnd = request.http.parameter("wait") == "true";
    const Instant deadline =
        awaitEnd ? request.received + this->options.maxWait : this->controllerDeadline();
    auto self = this->shared_from_this();
    this->context.controller.jobStatus(
        request.caller.team, job, request.waits, deadline,
        [self, reply = request.reply](const Result<JobStatus> &status) {
            if (status)
                reply(statusResponse(status.value(), 200));
            else
                self->fail(reply, status.error());
        });
}

void CallerService::Private::answer(const Request &request, JobId job)
{
    const std::string text = request.http.parameter("task");
    std::size_t index = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), index);
    if (!text.empty() && (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())) {
        this->fail(request.reply,
                   failure(ErrorCode::InvalidArgument, "parameter task must be a whole number"));
        return;
    }
    auto self = this->shared_from_this();
    this->context.controller.jobStatus(
        request.caller.team, job, false, this->controllerDeadline(),
        [self, reply = request.reply, index](const Result<JobStatus> &status) {
            if (status)
                self->sendAnswer(reply, index, status.value());
            else
                self->fail(reply, status.error());
        });
}

void CallerService::Private::sendAnswer(const HttpReply &reply, std::size_t index,
                                        const JobStatus &status)
{
    if (index >= status.tasks.size()) {
        this->fail(reply, failure(ErrorCode::NotFound, "the job has no such task"));
        return;
    }
    const TaskStatus &task = status.tasks[index];
    if (const auto error = failureOf(task)) {
        this->count(error->ran);
        reply(jobErrorResponse(status.job, *error));
        return;
    }
    auto self = this->shared_from_this();
    fetchAnswer(this->context.targets, this->context.timers, task, this->controllerDeadline(),
                [self, reply, job = status.job,
                 waited = status.waitedMs](const Result<std::string> &answer) {
                    if (!answer) {
                        self->fail(reply, answer.error());
                        return;
                    }
                    ++self->answered;
                    reply(answerResponse(job, answer.value(), waited));
                });
}

void CallerService::Private::cancel(Request &request)
{
    const auto job = parseJobId(std::string(jobPathSuffix(request.http.path)));
    if (!job) {
        this->fail(request.reply, job.error());
        return;
    }
    auto self = this->shared_from_this();
    this->context.controller.cancelJob(
        request.caller.team, job.value(), this->controllerDeadline(),
        [self, reply = request.reply](const Result<JobStatus> &status) {
            if (status)
                reply(statusResponse(status.value(), 200));
            else
                self->fail(reply, status.error());
        });
}

void CallerService::Private::count(Ran ran)
{
    switch (ran) {
    case Ran::No:
        ++this->refused;
        break;
    case Ran::Yes:
        ++this->failed;
        break;
    case Ran::Unknown:
        ++this->unknown;
        break;
    }
}

void CallerService::Private::fail(const HttpReply &reply, const Error &error)
{
    this->count(error.ran);
    reply(errorResponse(error));
}

CallerService::CallerService(Dependencies dependencies, KeyCheck keyCheck,
                             CallerServiceOptions options)
    : d(std::make_shared<Private>(dependencies, std::move(keyCheck), std::move(options)))
{
    this->d->addRoute(dependencies.server, "POST", &Private::submit);
    this->d->addRoute(dependencies.server, "GET", &Private::handleGet);
    this->d->addRoute(dependencies.server, "DELETE", &Private::cancel);
}

CallerService::~CallerService() = default;

CallerCounters CallerService::counters() const
{
    CallerCounters counters;
    counters.accepted = this->d->accepted;
    counters.joined = this->d->joined;
    counters.answered = this->d->answered;
    counters.refused = this->d->refused;
    counters.failed = this->d->failed;
    counters.unknown = this->d->unknown;
    return counters;
}

} // namespace guavavalve
