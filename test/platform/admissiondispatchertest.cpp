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

/// Counts calls by address and answers none.
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

/// A dispatcher on a machine "me", and an admission service that answers nothing.
class DispatcherFixture
{
public:
    DispatcherFixture()
    {
        this->service.route("*", "/", [this](const HttpRequest &, HttpReply reply) {
            this->held.push_back(std::move(reply));
        });
        REQUIRE(this->service.start());
        this->own = std::make_unique<AdmissionCaller>(
            this->loop, this->client, "127.0.0.1:" + std::to_string(this->service.port()));
        this->dispatcher = std::make_unique<AdmissionDispatcher>(
            this->loop, *this->own, this->messenger, this->presence, "me");
    }
    ~DispatcherFixture()
    {
        this->loop->stop();
        this->held.clear();
    }

    void ask(int questions, Milliseconds expected)
    {
        this->loop->post([this, questions, expected] {
            for (int i = 0; i < questions; ++i) {
                this->dispatcher->ask(
                    {}, {"t"}, expected, monotonicNow() + std::chrono::seconds(20),
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
    std::vector<HttpReply> held;
    SilentMessenger messenger;
    PresenceTable presence;
    std::unique_ptr<AdmissionCaller> own;
    std::unique_ptr<AdmissionDispatcher> dispatcher;
    std::atomic<int> refused{0};
};

} // namespace

TEST_CASE_METHOD(DispatcherFixture, "a new leader's questions wait in the plan, not at the service",
                 "[admissions]")
{
    // A leader that has just taken over knows no other machine, and has every waiting step asked
    // about at once. The service refuses what is beyond 32 questions, and the most urgent steps
    // came last. What is too much is given back at once, to be asked in the order of urgency.
    this->ask(30, Milliseconds(1));
    CHECK(eventually([&] { return this->refused == 10; }));
    this->ask(1, Milliseconds(1));
    CHECK(eventually([&] { return this->refused == 11; }));
}

TEST_CASE_METHOD(DispatcherFixture, "no machine has more than it can answer soon", "[admissions]")
{
    this->ask(5, Milliseconds(500)); // two take a second
    CHECK(eventually([&] { return this->refused == 3; }));
}

TEST_CASE_METHOD(DispatcherFixture, "long questions leave a third of the machines to short ones",
                 "[admissions]")
{
    // With a question of half a second under way on each machine, a step that runs for 0.8 s would
    // wait as long before it may start.
    for (const char *other : {"a", "b", "c", "d", "e"})
        this->presence.record({other, other, false});
    this->ask(20, Milliseconds(500)); // two each on four machines
    CHECK(eventually([&] { return this->refused == 12; }));
    CHECK(this->messenger.callsTo("a") == 0);
    CHECK(this->messenger.callsTo("e") == 2);
    this->ask(1, Milliseconds(10));
    this->ask(1, Milliseconds(10));
    CHECK(eventually([&] { return this->messenger.callsTo("a") == 1; }));
}
