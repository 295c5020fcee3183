#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "platform/admissioncaller.h"
#include "platform/admissiondispatcher.h"
#include "replicas/messenger.h"
#include "replicas/presencetable.h"
#include "runtime/ioloop.h"

#include <atomic>
#include <map>
#include <mutex>

using namespace guavavalve;
using namespace guavavalve::platform;
using fakes::eventually;

namespace {

/// Counts the calls to each address and answers none.
class SilentMessenger : public Messenger
{
public:
    void handle(Method, Handler) override {}
    void call(const std::string &address, Method, std::string, Instant, Done<std::string>) override
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls[address];
    }
    int callsTo(const std::string &address)
    {
        const std::lock_guard lock(this->mutex);
        return this->calls[address];
    }

private:
    std::mutex mutex;
    std::map<std::string, int> calls;
};

/// A dispatcher on an instance "me", and an admission service that never answers.
class DispatcherFixture
{
public:
    DispatcherFixture()
    {
        this->service.route("*", "/", [this](const HttpRequest &, HttpReply reply) {
            this->pendingReplies.push_back(std::move(reply));
        });
        REQUIRE(this->service.start());
        this->localCaller = std::make_unique<AdmissionCaller>(
            this->loop, this->client, "127.0.0.1:" + std::to_string(this->service.port()));
        this->dispatcher = std::make_unique<AdmissionDispatcher>(
            this->loop, *this->localCaller, this->messenger, this->presence, "me");
    }
    ~DispatcherFixture()
    {
        this->loop->stop();
        this->pendingReplies.clear();
    }

    void ask(int queries, Milliseconds expected)
    {
        this->loop->post([this, queries, expected] {
            for (int i = 0; i < queries; ++i) {
                const auto querier = this->dispatcher->reserve(expected);
                if (!querier) {
                    ++this->refused;
                    continue;
                }
                this->dispatcher->ask(
                    *querier, {}, {"t"}, monotonicNow() + std::chrono::seconds(20),
                    [this](const Result<workflows::AdmissionPort::Admitted> &answer) {
                        this->refused += answer ? 0 : 1;
                    });
            }
        });
    }

    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    std::shared_ptr<HttpClient> client =
        std::make_shared<HttpClient>(this->loop, HttpClientOptions());
    HttpServer service{{}};
    std::vector<HttpReply> pendingReplies;
    SilentMessenger messenger;
    PresenceTable presence;
    std::unique_ptr<AdmissionCaller> localCaller;
    std::unique_ptr<AdmissionDispatcher> dispatcher;
    std::atomic<int> refused{0};
};

} // namespace

TEST_CASE_METHOD(DispatcherFixture,
                 "queries beyond what the only known instance may have pending fail at once",
                 "[admissions]")
{
    // A new leader knows of no other instance yet and sends queries for all waiting steps at once.
    // The service rejects more than 32, and the queries of the most urgent steps came last. Excess
    // queries have to fail at once, so that the controller can send them in order of urgency.
    this->ask(30, Milliseconds(1));
    CHECK(eventually([&] { return this->refused == 10; }));
    this->ask(1, Milliseconds(1));
    CHECK(eventually([&] { return this->refused == 11; }));
}

TEST_CASE_METHOD(DispatcherFixture,
                 "an instance has no more queries pending than the service answers within a second",
                 "[admissions]")
{
    this->ask(5, Milliseconds(500)); // two of them take 1 s
    CHECK(eventually([&] { return this->refused == 3; }));
}

TEST_CASE_METHOD(DispatcherFixture, "a third of the instances is reserved for short queries",
                 "[admissions]")
{
    // With a query of 0.5 s pending on every instance, a step that runs for 0.8 s would wait 0.5 s
    // before it could start.
    for (const char *other : {"a", "b", "c", "d", "e"})
        this->presence.record({other, other, false});
    this->ask(20, Milliseconds(500)); // two each on four instances
    CHECK(eventually([&] { return this->refused == 12; }));
    CHECK(this->messenger.callsTo("a") == 0);
    CHECK(this->messenger.callsTo("e") == 2);
    this->ask(1, Milliseconds(10));
    this->ask(1, Milliseconds(10));
    CHECK(eventually([&] { return this->messenger.callsTo("a") == 1; }));
}
