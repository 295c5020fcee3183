#include "controller/controllerfixture.h"

#include <future>
#include <thread>

namespace guavavalve {

namespace {

std::int64_t calendarMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

} // namespace

ControllerFixture::ControllerFixture(std::int64_t leaseMs, Milliseconds unresponsiveAfter)
    : controller(
        [this, unresponsiveAfter] {
            ControllerOptions options;
            options.cellTime = calendarMs;
            options.makeScheduler = [] { return std::make_unique<FirstFitScheduler>(); };
            options.targetUnresponsiveAfter = unresponsiveAfter;
            options.entryTimeout = Milliseconds(300);
            options.orderRetry = Milliseconds(50);
            options.observeWait = [this](const std::string &, std::uint8_t, double) {
                ++this->observedWaits;
            };
            options.sendOrders = [this](const std::string &address,
                                        const std::vector<DispatchOrder> &orders,
                                        const Done<Nothing> &done) {
                {
                    const std::lock_guard lock(this->mutex);
                    for (const DispatchOrder &order : orders)
                        this->sent.emplace_back(address, order);
                }
                done(Nothing());
            };
            return options;
        }(),
        log, state)
{
    this->apply(GrantKey{"r0", "k0", "", KeyRole::Operator, "hash", "operator"});
    this->apply(WriteSection{
        "r1", "cell", 0, "k0",
        R"({"driftMarginMs": 50, "targetLeaseMs": )" + std::to_string(leaseMs) + "}", 0});
    this->apply(WriteSection{"r2", "team.mills", 0, "k0", R"({"share": 1})", 0});
    this->apply(GrantKey{"r3", "k1", "mills", KeyRole::Team, "hash", "test"});
    this->controller.start();
    this->controller.leadershipChanged(true);
}

ControllerFixture::~ControllerFixture()
{
    this->controller.stop();
}

void ControllerFixture::apply(Command command)
{
    CommandBatch batch;
    batch.commands.push_back(std::move(command));
    const auto outcomes = decodeOutcomes(this->state.apply(1, encodeBatch(batch).value()));
    if (!outcomes || !outcomes.value().front())
        throw std::runtime_error("the fixture's command was rejected: "
                                 + outcomes.value().front().error().message);
}

Result<SubmitReply> ControllerFixture::submit(const SubmitRequest &request)
{
    return this->await<SubmitReply>(
        [&](Done<SubmitReply> done) { this->controller.submit(request, std::move(done)); });
}

Result<JobStatus> ControllerFixture::awaitEnd(JobId job)
{
    return this->await<JobStatus>([&](Done<JobStatus> done) {
        this->controller.jobStatus("mills", job, true, monotonicNow() + std::chrono::seconds(25),
                                   std::move(done));
    });
}

Result<AnnouncementReply> ControllerFixture::announce(const Announcement &announcement)
{
    auto replies =
        this->await<std::vector<AnnouncementReply>>([&](Done<std::vector<AnnouncementReply>> done) {
            this->controller.announce({announcement}, std::move(done));
        });
    if (!replies)
        return replies.error();
    return replies.value().front();
}

Result<SyncReply> ControllerFixture::synchronise(const InstanceId &entry)
{
    SyncRequest request;
    request.entry = entry;
    request.address = entry;
    return this->await<SyncReply>(
        [&](Done<SyncReply> done) { this->controller.synchronise(request, std::move(done)); });
}

Result<Nothing> ControllerFixture::end(const DispatchOrder &order, AttemptOutcome outcome)
{
    AttemptEnd end;
    end.task = order.task;
    end.attempt = order.attempt;
    end.outcome = outcome;
    return this->await<Nothing>(
        [&](Done<Nothing> done) { this->controller.attemptEnded(end, std::move(done)); });
}

SubmitRequest ControllerFixture::request(const std::string &idempotencyKey)
{
    SubmitRequest request;
    request.keyId = "k1";
    request.team = "mills";
    request.idempotencyKey = idempotencyKey;
    request.digest = "digest";
    request.need = Resources{{1000, 512, 0, 1, 1}};
    request.payload = "gauge sequence";
    request.entry = "e1";
    return request;
}

Announcement ControllerFixture::target(const std::string &name, Incarnation incarnation)
{
    Announcement announcement;
    announcement.name = name;
    announcement.incarnation = incarnation;
    announcement.address = "127.0.0.1:1";
    announcement.failureDomain = "regina";
    announcement.rack = "r1";
    announcement.total = Resources{{4000, 4096, 0, 4, 4}};
    return announcement;
}

bool ControllerFixture::waitForOrder(const InstanceId &entry,
                                     const std::function<bool(const DispatchOrder &)> &matches)
{
    return waitUntil([&] {
        const std::lock_guard lock(this->mutex);
        for (const auto &[address, order] : this->sent) {
            if (address == entry && matches(order))
                return true;
        }
        return false;
    });
}

bool ControllerFixture::waitUntil(const std::function<bool()> &condition)
{
    const Instant deadline = monotonicNow() + std::chrono::seconds(30);
    while (monotonicNow() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return condition();
}

} // namespace guavavalve
