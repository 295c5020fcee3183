#include "targets/announcementlistener.h"

#include "controller/controllerclient.h"
#include "runtime/httperror.h"
#include "runtime/httpserver.h"
#include "runtime/timerqueue.h"
#include "targets/announcementjson.h"
#include "targets/targetcontract.h"

#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

namespace {

constexpr Milliseconds retryAfterDelay{500};

struct Waiting
{
    Announcement announcement;
    HttpReply reply;
};

void refuse(const std::vector<HttpReply> &replies, const Error &error)
{
    for (const HttpReply &reply : replies)
        reply(errorResponse(error));
}

void answer(const std::vector<HttpReply> &replies,
            const Result<std::vector<AnnouncementReply>> &result)
{
    if (!result) {
        refuse(replies, result.error());
        return;
    }
    if (result.value().size() != replies.size()) {
        refuse(replies,
               failure(ErrorCode::Internal,
                       "the controller's replies do not match the announcements in number"));
        return;
    }
    for (std::size_t i = 0; i < replies.size(); ++i) {
        HttpResponse response;
        response.body = announcementReplyJson(result.value()[i]);
        replies[i](std::move(response));
    }
}

} // namespace

struct AnnouncementListener::Private : std::enable_shared_from_this<AnnouncementListener::Private>
{
    Private(ControllerClient &client, TimerQueue &timerQueue, AnnouncementListenerOptions chosen)
        : controller(client)
        , timers(timerQueue)
        , options(chosen)
    {}

    ControllerClient &controller;
    TimerQueue &timers;
    AnnouncementListenerOptions options;
    std::mutex mutex;
    std::vector<Waiting> batch;
    std::size_t inFlight = 0; ///< announcements forwarded and not yet answered

    void receive(const HttpRequest &request, const HttpReply &reply);
    void flush();
};

void AnnouncementListener::Private::receive(const HttpRequest &request, const HttpReply &reply)
{
    auto parsed = parseAnnouncement(request.body);
    if (!parsed) {
        reply(errorResponse(parsed.error()));
        return;
    }
    bool refused = false;
    bool first = false;
    bool full = false;
    {
        const std::lock_guard lock(this->mutex);
        refused = this->batch.size() + this->inFlight >= this->options.maxWaiting;
        if (!refused) {
            first = this->batch.empty();
            this->batch.push_back({std::move(parsed).value(), reply});
            full = this->batch.size() >= this->options.maxBatch;
        }
    }
    if (refused) {
        Error error = failure(ErrorCode::Unavailable,
                              "too many announcements are waiting for the controller");
        error.retryAfter = retryAfterDelay;
        reply(errorResponse(error));
    } else if (full) {
        this->flush();
    } else if (first) {
        auto self = this->shared_from_this();
        this->timers.runAfter(this->options.batchDelay, [self] { self->flush(); });
    }
}

void AnnouncementListener::Private::flush()
{
    std::vector<Waiting> pending;
    {
        const std::lock_guard lock(this->mutex);
        pending.swap(this->batch);
        this->inFlight += pending.size();
    }
    if (pending.empty())
        return;
    std::vector<Announcement> announcements;
    std::vector<HttpReply> replies;
    for (Waiting &waiting : pending) {
        announcements.push_back(std::move(waiting.announcement));
        replies.push_back(std::move(waiting.reply));
    }
    auto self = this->shared_from_this();
    this->controller.announce(
        std::move(announcements), monotonicNow() + this->options.replyTimeout,
        [self, replies](const Result<std::vector<AnnouncementReply>> &result) {
            {
                const std::lock_guard lock(self->mutex);
                self->inFlight -= replies.size();
            }
            answer(replies, result);
        });
}

AnnouncementListener::AnnouncementListener(HttpServer &server, ControllerClient &controller,
                                           TimerQueue &timers, AnnouncementListenerOptions options)
    : d(std::make_shared<Private>(controller, timers, options))
{
    server.route("POST", std::string(announcePath),
                 [shared = this->d](const HttpRequest &request, const HttpReply &reply) {
                     shared->receive(request, reply);
                 });
}

AnnouncementListener::~AnnouncementListener() = default;

} // namespace guavavalve
