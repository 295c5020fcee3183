#include "targets/httptargetclient.h"

#include "runtime/timerqueue.h"
#include "targets/targetcontract.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace guavavalve {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::client::http_client;
using web::http::client::http_client_config;

/// Only a fallback: each call has its own, shorter deadline.
constexpr std::chrono::seconds libraryTimeout{120};

enum HttpStatus : int { Ok = 200, Accepted = 202, NotFound = 404, Conflict = 409 };

Error unknownFailure(ErrorCode code, std::string message)
{
    Error error = failure(code, std::move(message));
    error.ran = Ran::Unknown;
    return error;
}

std::string headerOf(const http_response &response, std::string_view name)
{
    const auto found = response.headers().find(std::string(name));
    return found == response.headers().end() ? std::string() : found->second;
}

/// The report in \a response, whose body is \a body. Rejects an answer that is about another
/// attempt, is incomplete or does not match its digest.
Result<AttemptReport> readReport(const http_response &response, AttemptId attempt, std::string body)
{
    if (headerOf(response, attemptHeader) != attemptName(attempt))
        return unknownFailure(ErrorCode::IncompleteAnswer,
                              "the reply is not about attempt " + attemptName(attempt));
    const int status = response.status_code();
    AttemptReport report;
    if (status == HttpStatus::Accepted)
        return report;
    if (status == HttpStatus::NotFound)
        return unknownFailure(ErrorCode::NotFound, "the target does not know the attempt");
    const auto outcome = enumFromName(attemptOutcomeNames, headerOf(response, outcomeHeader));
    if ((status != HttpStatus::Ok && status != HttpStatus::Conflict) || !outcome)
        return unknownFailure(ErrorCode::Unavailable,
                              "the target replied with status " + std::to_string(status));
    report.ended = true;
    report.outcome = *outcome;
    report.answerDigest = answerDigest(body);
    const bool whole = headerOf(response, answerLengthHeader) == std::to_string(body.size())
        && headerOf(response, answerDigestHeader) == report.answerDigest;
    if (*outcome == AttemptOutcome::Succeeded && !whole)
        return unknownFailure(ErrorCode::IncompleteAnswer,
                              "the answer does not match the length and digest in its headers");
    report.answer = std::move(body);
    return report;
}

/// One request to a target. Ends once: with a reply, an error or a timeout.
struct Call
{
    AttemptId attempt;
    Done<AttemptReport> done;
    pplx::cancellation_token_source cancellation;
    std::atomic<bool> ended{false};

    bool end(Result<AttemptReport> result)
    {
        if (this->ended.exchange(true))
            return false;
        this->done(std::move(result));
        this->done = nullptr;
        return true;
    }
};

std::string waitParameter(Milliseconds wait)
{
    return "waitMs=" + std::to_string(wait.count());
}

std::string incarnationParameter(Incarnation incarnation)
{
    return "incarnation=" + std::to_string(incarnation);
}

std::string attemptUri(AttemptId attempt, const std::string &rest)
{
    return std::string(attemptsPath) + "/" + attemptName(attempt) + rest;
}

} // namespace

struct HttpTargetClient::Private : std::enable_shared_from_this<HttpTargetClient::Private>
{
    Private(TimerQueue &timerQueue, HttpTargetClientOptions clientOptions)
        : timers(timerQueue)
        , options(clientOptions)
    {}

    TimerQueue &timers;
    HttpTargetClientOptions options;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<http_client>> pools;
    std::atomic<std::size_t> replaced{0};

    std::shared_ptr<http_client> pool(const std::string &address);
    void replacePool(const std::string &address, const std::shared_ptr<http_client> &unresponsive);
    void call(const std::string &address, AttemptId attempt, const http_request &request,
              Milliseconds wait, Done<AttemptReport> done);
    void receive(const std::shared_ptr<Call> &call, const http_response &response) const;
};

std::shared_ptr<http_client> HttpTargetClient::Private::pool(const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    std::shared_ptr<http_client> &client = this->pools[address];
    if (!client) {
        http_client_config config;
        config.set_timeout(libraryTimeout);
        client = std::make_shared<http_client>(web::uri("http://" + address), config);
    }
    return client;
}

void HttpTargetClient::Private::replacePool(const std::string &address,
                                            const std::shared_ptr<http_client> &unresponsive)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pools.find(address);
    // Another call that timed out on the same pool may have replaced it already.
    if (found == this->pools.end() || found->second != unresponsive)
        return;
    this->pools.erase(found);
    ++this->replaced;
}

void HttpTargetClient::Private::call(const std::string &address, AttemptId attempt,
                                     const http_request &request, Milliseconds wait,
                                     Done<AttemptReport> done)
{
    auto call = std::make_shared<Call>();
    call->attempt = attempt;
    call->done = std::move(done);
    std::shared_ptr<http_client> client;
    try {
        client = this->pool(address);
    } catch (const std::exception &) {
        call->end(unknownFailure(ErrorCode::InvalidArgument, "invalid target address: " + address));
        return;
    }
    auto self = this->shared_from_this();
    this->timers.runAfter(wait + this->options.replySlack, [self, call, address, client] {
        if (call->ended)
            return;
        self->replacePool(address, client);
        if (call->end(
                unknownFailure(ErrorCode::DeadlineExceeded, "the target did not reply in time")))
            call->cancellation.cancel();
    });
    client->request(request, call->cancellation.get_token())
        .then([self, call](const pplx::task<http_response> &reply) {
            try {
                self->receive(call, reply.get());
            } catch (const std::exception &problem) {
                call->end(unknownFailure(ErrorCode::Unavailable, problem.what()));
            }
        });
}

void HttpTargetClient::Private::receive(const std::shared_ptr<Call> &call,
                                        const http_response &response) const
{
    if (response.headers().content_length() > this->options.maxAnswerBytes) {
        call->end(unknownFailure(ErrorCode::IncompleteAnswer,
                                 "the answer is longer than "
                                     + std::to_string(this->options.maxAnswerBytes) + " bytes"));
        return;
    }
    response.extract_vector().then([call, response](
                                       const pplx::task<std::vector<unsigned char>> &arrived) {
        try {
            const std::vector<unsigned char> bytes = arrived.get();
            call->end(readReport(response, call->attempt, std::string(bytes.begin(), bytes.end())));
        } catch (const std::exception &problem) {
            call->end(unknownFailure(ErrorCode::IncompleteAnswer, problem.what()));
        }
    });
}

HttpTargetClient::HttpTargetClient(TimerQueue &timers, HttpTargetClientOptions options)
    : d(std::make_shared<Private>(timers, options))
{}

HttpTargetClient::~HttpTargetClient() = default;

void HttpTargetClient::start(const DispatchOrder &order, Milliseconds wait,
                             Done<AttemptReport> done)
{
    const AttemptId attempt{order.task, order.attempt};
    http_request request(web::http::methods::POST);
    request.set_request_uri(attemptUri(
        attempt, "/start?" + incarnationParameter(order.incarnation) + "&" + waitParameter(wait)));
    request.set_body(std::vector<unsigned char>(order.payload.begin(), order.payload.end()));
    this->d->call(order.targetAddress, attempt, request, wait, std::move(done));
}

void HttpTargetClient::query(const std::string &address, AttemptId attempt, Incarnation incarnation,
                             Milliseconds wait, Done<AttemptReport> done)
{
    std::string parameters = "?" + waitParameter(wait);
    if (incarnation != 0)
        parameters += "&" + incarnationParameter(incarnation);
    http_request request(web::http::methods::GET);
    request.set_request_uri(attemptUri(attempt, parameters));
    this->d->call(address, attempt, request, wait, std::move(done));
}

void HttpTargetClient::stop(const std::string &address, AttemptId attempt, Incarnation incarnation,
                            Done<AttemptReport> done)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(attemptUri(attempt, "/stop?" + incarnationParameter(incarnation)));
    this->d->call(address, attempt, request, Milliseconds(0), std::move(done));
}

void HttpTargetClient::throttle(const std::string &address, AttemptId attempt,
                                Done<AttemptReport> done)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(attemptUri(attempt, "/throttle"));
    this->d->call(address, attempt, request, Milliseconds(0), std::move(done));
}

void HttpTargetClient::checkpoint(const std::string &address, AttemptId attempt,
                                  Done<AttemptReport> done)
{
    http_request request(web::http::methods::POST);
    request.set_request_uri(attemptUri(attempt, "/checkpoint"));
    this->d->call(address, attempt, request, Milliseconds(0), std::move(done));
}

std::size_t HttpTargetClient::poolsReplaced() const
{
    return this->d->replaced;
}

} // namespace guavavalve
