#include "standin/announcer.h"

#include "runtime/timerqueue.h"
#include "targets/announcementjson.h"
#include "targets/targetcontract.h"

#include <cpprest/http_client.h>

#include <atomic>

using namespace guavavalve;

namespace standin {

namespace {

constexpr std::chrono::milliseconds replyTimeout{1000};

} // namespace

struct Announcer::Private : std::enable_shared_from_this<Announcer::Private>
{
    Private(TimerQueue &timers, std::vector<std::string> entries, Milliseconds interval,
            Hooks hooks)
        : timers(timers)
        , entries(std::move(entries))
        , interval(interval)
        , hooks(std::move(hooks))
    {}

    TimerQueue &timers;
    std::vector<std::string> entries;
    Milliseconds interval;
    Hooks hooks;
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> entryIndex{0};

    void announce();
    void send(const Announcement &announcement);
    void scheduleNext(bool answered);
};

void Announcer::Private::announce()
{
    if (this->stopped)
        return;
    if (this->hooks.isPaused()) {
        this->scheduleNext(true);
        return;
    }
    this->send(this->hooks.describe());
}

void Announcer::Private::send(const Announcement &announcement)
{
    web::http::client::http_client_config config;
    config.set_timeout(replyTimeout);
    const std::string &entry = this->entries[this->entryIndex % this->entries.size()];
    auto client =
        std::make_shared<web::http::client::http_client>(web::uri("http://" + entry), config);
    // Taken before the first byte is sent: however long the request is delayed, the lease starts
    // later at the controller than here.
    const Instant sentAt = monotonicNow();
    auto self = this->shared_from_this();
    client
        ->request(web::http::methods::POST, std::string(announcePath),
                  announcementJson(announcement), "application/json")
        .then([](const web::http::http_response &response) {
            if (response.status_code() != web::http::status_codes::OK)
                throw std::runtime_error("the entry rejected the announcement");
            return response.extract_utf8string(true);
        })
        .then([self, client, announcement, sentAt](const pplx::task<std::string> &body) {
            bool answered = false;
            try {
                const auto reply = parseAnnouncementReply(body.get());
                answered = reply.has_value();
                if (answered && !self->stopped)
                    self->hooks.onReply(announcement, sentAt, reply.value());
            } catch (const std::exception &) {
                answered = false;
            }
            self->scheduleNext(answered);
        });
}

void Announcer::Private::scheduleNext(bool answered)
{
    if (this->stopped)
        return;
    if (!answered)
        ++this->entryIndex;
    constexpr std::int64_t retryDivisor = 4;
    auto self = this->shared_from_this();
    this->timers.runAfter(answered ? this->interval : this->interval / retryDivisor,
                          [self] { self->announce(); });
}

Announcer::Announcer(TimerQueue &timers, std::vector<std::string> entries, Milliseconds interval,
                     Hooks hooks)
    : d(std::make_shared<Private>(timers, std::move(entries), interval, std::move(hooks)))
{}

Announcer::~Announcer()
{
    this->stop();
}

void Announcer::start()
{
    if (!this->d->entries.empty())
        this->d->announce();
}

void Announcer::stop()
{
    this->d->stopped = true;
}

} // namespace standin
