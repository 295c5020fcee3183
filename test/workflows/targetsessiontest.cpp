#include <catch2/catch.hpp>

#include "workflows/sessions/targetsession.h"
#include "workflows/storefixture.h"
#include "workflows/virtualloop.h"

#include <memory>
#include <optional>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// Answers orders until it is set to be silent, and records the leases that it was granted.
class RecordingPort : public TargetPort
{
public:
    explicit RecordingPort(VirtualLoop &loop)
        : loop(loop)
    {}
    void start(const TargetIdentity &, const StartOrder &, Instant deadline,
               Done<OrderAnswer> done) override
    {
        ++this->starts;
        if (this->unsentStart) {
            this->loop.runAfter(
                Milliseconds(100),
                [done = std::move(done), error = *this->unsentStart] { done(error); });
            return;
        }
        this->answer(deadline, std::move(done), OrderAnswer{this->startReply, this->clock()},
                     this->losesStartAnswers);
    }
    void stop(const TargetIdentity &, const StopOrder &, Instant deadline,
              Done<OrderAnswer> done) override
    {
        ++this->stops;
        this->answer(deadline, std::move(done), OrderAnswer{OrderReply::Done, this->clock()});
    }
    void hold(const TargetIdentity &, const HoldOrder &order, Instant deadline,
              Done<HoldAnswer> done) override
    {
        this->lastLease = order.leaseUntilMs;
        this->lastHoldFence = order.fence;
        if (order.leaseUntilMs != 0)
            this->lastGrantAt = this->loop.now();
        if (this->holdError) {
            this->loop.runAfter(
                Milliseconds(100),
                [done = std::move(done), error = *this->holdError] { done(error); });
            return;
        }
        HoldAnswer lists;
        lists.reply = order.fence < this->fence ? OrderReply::Fenced : this->holdReply;
        lists.clockMs = this->clock();
        lists.running = this->running;
        lists.ends = this->ends;
        this->answer(deadline, std::move(done), lists);
    }

    std::int64_t clock() const { return this->startClockMs + this->loop.nowMs(); }

    template<typename Answer>
    void answer(Instant deadline, Done<Answer> done, Answer with, bool isLost = false)
    {
        if (this->isSilent || isLost) {
            this->loop.runAfter(deadline - this->loop.now(), [done = std::move(done)] {
                Error error = failure(ErrorCode::DeadlineExceeded, "no answer");
                error.ran = Ran::Unknown;
                done(error);
            });
            return;
        }
        this->loop.runAfter(Milliseconds(100), [done = std::move(done), with] { done(with); });
    }

    VirtualLoop &loop;
    bool isSilent = false;
    std::int64_t startClockMs = 5000; ///< the target's clock at the loop's beginning
    std::int64_t lastLease = -1;
    Instant lastGrantAt{};
    std::uint64_t fence = 0; ///< polls with lower tokens are rejected
    std::uint64_t lastHoldFence = 0;
    int starts = 0;
    int stops = 0;
    bool losesStartAnswers = false;
    OrderReply startReply = OrderReply::Done;
    OrderReply holdReply = OrderReply::Done;
    std::optional<Error> holdError; ///< if set, polls fail with it
    /// If set, no start is sent, and its sender receives this error.
    std::optional<Error> unsentStart;
    std::vector<RunningTask> running;
    std::vector<ListedEnd> ends;
};

struct SessionFixture
{
    explicit SessionFixture(const SessionLimits &sessionLimits = SessionLimits())
        : limits(sessionLimits)
    {
        TargetSession::Hooks hooks;
        hooks.runsOver = [this](const std::vector<RunEnd> &ends) {
            this->over = ends;
            this->overCount += ends.size();
            this->overAt = this->loop.now();
        };
        hooks.usableChanged = [] {};
        hooks.incarnationOver = [this](IncarnationEnd how) { this->incarnationOver = how; };
        hooks.nextFence = [this] { return ++this->lastFence; };
        hooks.settled = [this](IncarnationId placedOn) { this->settledFrom.push_back(placedOn); };
        hooks.restChanged = [this](bool rests) { this->rests = rests; };
        hooks.runAfter = [this](Microseconds delay, std::function<void()> action) {
            this->loop.runAfter(delay, std::move(action));
        };
        hooks.isCurrent = [this] { return this->isCurrent; };
        hooks.loopLag = [this] { return this->loopLag; };
        TargetIdentity identity;
        identity.name = "t1";
        this->session = std::make_shared<TargetSession>(static_cast<IncarnationId>(1), identity,
                                                        this->limits, this->port, std::move(hooks),
                                                        [this] { return this->loop.now(); });
        this->session->recordHeartbeat(true);
        this->session->begin();
        this->loop.runFor(Milliseconds(1000));
    }

    void startTask()
    {
        StartOrder order;
        order.task = this->task;
        order.run = 1;
        this->port.running = {{this->task, 1, ""}};
        this->session->start(order);
    }

    void leave()
    {
        this->session->leave([this](DepartureEnd how) { this->goneBy = how; });
    }

    void tickFor(Milliseconds span)
    {
        for (Milliseconds passed(0); passed < span; passed += Milliseconds(10)) {
            this->loop.runFor(Milliseconds(10));
            this->session->tick();
        }
    }

    TaskAddress task{{StoreFixture::job, 0, 0}, 0};
    VirtualLoop loop;
    RecordingPort port{this->loop};
    SessionLimits limits;
    bool isCurrent = true;
    Microseconds loopLag{0};
    std::vector<RunEnd> over; ///< of the latest report
    std::size_t overCount = 0; ///< of all reports
    bool rests = false;
    Instant overAt{};
    std::vector<IncarnationId> settledFrom; ///< of unsettled runs
    std::uint64_t lastFence = 0;
    std::optional<IncarnationEnd> incarnationOver; ///< set once it is reported
    std::optional<DepartureEnd> goneBy; ///< set once the target has left
    std::shared_ptr<TargetSession> session;
};

} // namespace

TEST_CASE_METHOD(SessionFixture, "a controller that is no longer current grants no lease",
                 "[session]")
{
    // A controller is cut off from the other replicas but not from a target. The next controller
    // counts this one's leases from its own election: a lease granted after that would let a run
    // continue here while it is started elsewhere.
    CHECK(this->port.lastLease > 0);
    this->isCurrent = false;
    this->tickFor(Milliseconds(500));
    CHECK(this->port.lastLease == 0);
    this->startTask();
    this->tickFor(Milliseconds(500));
    CHECK(this->port.starts == 0);
    this->isCurrent = true;
    this->tickFor(Milliseconds(500));
    CHECK(this->port.starts == 1);
    CHECK(this->port.lastLease > 0);
}

TEST_CASE_METHOD(SessionFixture,
                 "a refused start is reported differently from one that found no room", "[session]")
{
    // The run is over once its stop is confirmed and the lists do not contain it: until then an
    // earlier copy of the order may still be carried out.
    const auto outcomeAfter = [this](OrderReply reply, std::uint16_t index) {
        this->port.startReply = reply;
        StartOrder order;
        order.task = {this->task.step, index};
        order.run = 1;
        this->session->start(order);
        this->tickFor(Milliseconds(1000));
        this->session->committed();
        REQUIRE(this->over.size() == 1);
        return this->over[0].outcome;
    };
    CHECK(outcomeAfter(OrderReply::Refused, 1) == RunOutcome::Refused);
    CHECK(outcomeAfter(OrderReply::NoRoom, 2) == RunOutcome::NeverStarted);
}

TEST_CASE_METHOD(SessionFixture, "a lease expires only by the slowest clock that a target may have",
                 "[session]")
{
    // A target falls silent. Its clock may be 2% slow, so its runs may continue for that much
    // longer than the last granted lease.
    this->startTask();
    this->tickFor(Milliseconds(1000));
    this->port.isSilent = true;
    this->tickFor(Milliseconds(15000));
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::Lost);
    const auto slowest = this->limits.lease + this->limits.lease / 50;
    CHECK(this->overAt >= this->port.lastGrantAt + slowest);
    CHECK(this->overAt <= this->port.lastGrantAt + slowest + Milliseconds(1000));
}

TEST_CASE_METHOD(SessionFixture,
                 "the tasks of a target that falls silent are released after one lease",
                 "[session]")
{
    // A target is cut off. If unanswered orders and polls kept extending the lease, its work would
    // start elsewhere 3.5 s later than the last lease that the target can have received requires.
    // Only runs whose starts may still arrive wait longer, until these have expired.
    this->startTask();
    this->tickFor(Milliseconds(1000));
    this->port.isSilent = true;
    const Instant silentAt = this->loop.now();
    for (std::uint16_t index = 1; index < 8; ++index) {
        StartOrder order;
        order.task = {this->task.step, index};
        order.run = 1;
        this->session->start(order);
        this->tickFor(Milliseconds(200));
    }
    const Milliseconds drift = this->limits.lease * this->limits.maxClockDriftPerThousand / 1000;
    this->tickFor(this->limits.lease);
    REQUIRE(this->overCount == 1); // the only one of which no start may still arrive
    CHECK(this->over[0].task == this->task);
    CHECK(this->overAt <= silentAt + this->limits.lease + drift + this->limits.leaseMargin
              + this->limits.resendDelay + Milliseconds(100)); // the last answer's age, a tick
    this->tickFor(this->limits.longestOrderDelay);
    CHECK(this->overCount == 8);
    CHECK(this->overAt <= silentAt + this->limits.startTimeout + this->limits.longestOrderDelay);
}

TEST_CASE_METHOD(SessionFixture, "a target that leaves a start unanswered receives no new work",
                 "[session]")
{
    // Without this check a target receives new work for 1.7 s after it was cut off, until a poll
    // has timed out, and all of that work then waits for its lease to expire.
    REQUIRE(this->session->isUsable());
    this->port.isSilent = true;
    this->startTask();
    this->tickFor(this->limits.unansweredStartLimit + Milliseconds(20));
    CHECK_FALSE(this->session->isUsable());
}

// Guards against a start that is sent long after its placement: the next controller takes it for
// settled by then.
TEST_CASE_METHOD(SessionFixture, "a start that waits for a lease is not sent once it is overdue",
                 "[session]")
{
    this->isCurrent = false;
    this->startTask();
    this->port.running.clear();
    this->tickFor(this->limits.startTimeout + Milliseconds(500));
    CHECK(this->overCount == 1);
    this->isCurrent = true;
    this->tickFor(Milliseconds(1000));
    CHECK(this->port.starts == 0);
    REQUIRE_FALSE(this->over.empty());
    CHECK(this->over.front().outcome == RunOutcome::NeverStarted);
}

// As above, for one whose lease comes with the time being over.
TEST_CASE_METHOD(SessionFixture, "a start is not sent once it is overdue, with a lease or without",
                 "[session]")
{
    this->isCurrent = false;
    this->startTask();
    this->port.running.clear();
    this->tickFor(this->limits.startTimeout + Milliseconds(20));
    CHECK(this->overCount == 0); // the next attempt is to come
    this->isCurrent = true;
    this->tickFor(Milliseconds(1000));
    CHECK(this->port.starts == 0);
    CHECK(this->overCount == 1);
}

TEST_CASE_METHOD(SessionFixture, "an overdue start that may have been sent is settled by a stop",
                 "[session]")
{
    this->port.losesStartAnswers = true;
    this->startTask();
    this->port.running.clear();
    this->tickFor(Milliseconds(500));
    this->isCurrent = false;
    this->tickFor(this->limits.startTimeout);
    CHECK(this->port.stops == 1);
}

// Guards against a task that is taken for the cause of its target's end, although it had been
// running for long.
TEST_CASE_METHOD(SessionFixture, "an overdue start of a listed run is not taken for a new one",
                 "[session]")
{
    this->port.losesStartAnswers = true;
    this->startTask();
    this->tickFor(Milliseconds(500));
    this->isCurrent = false;
    this->tickFor(this->limits.startTimeout - Milliseconds(500) + this->limits.resendDelay);
    CHECK(this->port.stops == 0);
    this->session->declareLost();
    REQUIRE(this->over.size() == 1);
    CHECK(this->over.front().outcome == RunOutcome::Lost);
}

namespace {

struct ShortLeaseFixture : SessionFixture
{
    ShortLeaseFixture()
        : SessionFixture([] {
            SessionLimits limits;
            limits.lease = limits.longestLease / 2;
            return limits;
        }())
    {}
};

} // namespace

// Guards against two runs of a task at once: a later incarnation may have started it since.
TEST_CASE_METHOD(ShortLeaseFixture,
                 "an adopted run that was listed is held while a later incarnation may keep it",
                 "[session]")
{
    this->port.isSilent = true; // no poll that does not list it is answered after its adoption
    this->tickFor(Milliseconds(200));
    const Instant keptUntil = this->loop.now() + this->limits.longestLease + Milliseconds(1000);
    this->port.running = {{this->task, 1, ""}};
    this->session->adopt(this->task, 1, keptUntil);
    this->port.isSilent = false;
    this->tickFor(Milliseconds(4000));
    REQUIRE(this->overCount == 0);
    this->port.isSilent = true; // a later incarnation gets the polls
    this->tickFor(3 * this->limits.longestLease);
    REQUIRE(this->overCount == 1);
    CHECK(this->overAt >= this->port.lastGrantAt + this->limits.longestLease);
}

// Guards against a task that waits for a lease to expire although its start was never sent.
TEST_CASE_METHOD(SessionFixture, "a run whose start was never sent is over at once", "[session]")
{
    this->port.unsentStart = failure(ErrorCode::LimitExceeded, "no connection came free");
    this->startTask();
    this->port.running.clear();
    this->tickFor(Milliseconds(200));
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::NeverStarted);
    CHECK(this->port.starts == 1);
}

// Guards against a leader that runs out of connections and treats its targets as lost.
TEST_CASE_METHOD(SessionFixture,
                 "a lack of connections on this side does not make the target unusable",
                 "[session]")
{
    this->port.unsentStart = failure(ErrorCode::LimitExceeded, "no connection came free");
    this->startTask();
    this->port.running.clear();
    this->tickFor(Milliseconds(200));
    CHECK(this->session->isUsable());
}

// Guards against placing work repeatedly on a target that accepts no connection.
TEST_CASE_METHOD(SessionFixture, "a target that accepts no connection receives no work for a while",
                 "[session]")
{
    this->port.unsentStart = failure(ErrorCode::Unavailable, "cannot connect");
    this->startTask();
    this->port.running.clear();
    this->tickFor(Milliseconds(110));
    CHECK_FALSE(this->session->isUsable());
    this->tickFor(this->limits.unansweredStartLimit);
    CHECK(this->session->isUsable());
}

// Guards against a second run beside a first one whose start did arrive.
TEST_CASE_METHOD(SessionFixture,
                 "a run whose start may have been sent is not over before its lease expires",
                 "[session]")
{
    this->port.isSilent = true;
    this->startTask();
    this->tickFor(Milliseconds(900));
    this->port.unsentStart = failure(ErrorCode::Unavailable, "cannot connect");
    this->tickFor(Milliseconds(800));
    CHECK(this->over.empty());
}

// Guards against a run that stays unresolved while its target answers everything but its start.
TEST_CASE_METHOD(SessionFixture, "a start that is never carried out is given up and stopped",
                 "[session]")
{
    this->port.startReply = OrderReply::Late;
    this->startTask();
    this->port.running.clear();
    this->tickFor(this->limits.startTimeout + Milliseconds(1500));
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::NeverStarted);
}

// Guards against a busy leader that stops using healthy targets because it reads their answers
// late.
TEST_CASE_METHOD(SessionFixture,
                 "the limit for unanswered starts is extended by the lag of the controller's loop",
                 "[session]")
{
    this->loopLag = Milliseconds(600);
    this->port.isSilent = true;
    this->startTask();
    this->tickFor(this->limits.unansweredStartLimit + Milliseconds(20));
    CHECK(this->session->isUsable());
}

// Guards against running a task again after a target listed its end at the moment it left.
TEST_CASE_METHOD(SessionFixture, "an end that a leaving target still lists is reported",
                 "[session]")
{
    this->startTask();
    this->tickFor(Milliseconds(510)); // a poll is pending
    this->port.running.clear();
    this->port.ends = {{1, this->task, 1, RunOutcome::Succeeded, ""}};
    this->tickFor(Milliseconds(100)); // the next poll will be answered with the end
    this->over.clear();
    this->leave();
    CHECK_FALSE(this->session->isUsable());
    CHECK(this->over.empty());
    this->tickFor(Milliseconds(200));
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::Succeeded);
    CHECK_FALSE(this->goneBy);
    this->session->committed();
    CHECK(this->goneBy == DepartureEnd::NothingPlaced);
}

// Guards against two runs of a task at once: a leaving target that does not answer may still run
// it.
TEST_CASE_METHOD(SessionFixture,
                 "the runs of a leaving target that falls silent are lost when its lease expires",
                 "[session]")
{
    this->startTask();
    this->tickFor(Milliseconds(500));
    this->port.isSilent = true;
    this->leave();
    const Milliseconds drift = this->limits.lease * this->limits.maxClockDriftPerThousand / 1000;
    const Instant expiry = this->port.lastGrantAt + this->limits.lease + drift;
    this->tickFor(Milliseconds(10000));
    CHECK(this->goneBy == DepartureEnd::LeaseExpired);
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::Lost);
    CHECK(this->overAt >= expiry);
    CHECK(this->overAt <= expiry + this->limits.leaseMargin + Milliseconds(100));
}

// Guards against a target that never ends although it said so, with its leases renewed for ever.
TEST_CASE_METHOD(SessionFixture, "a leaving target is polled and gets no further lease",
                 "[session]")
{
    this->startTask();
    this->tickFor(Milliseconds(500));
    this->leave();
    this->tickFor(Milliseconds(500));
    CHECK(this->port.lastLease == 0);
    CHECK(this->over.empty());
    this->tickFor(Milliseconds(10000));
    CHECK(this->goneBy == DepartureEnd::LeaseExpired);
}

// Guards against work that waits for a lease although the process that held it is known to be gone.
TEST_CASE_METHOD(SessionFixture,
                 "the runs of a leaving target end when another process answers at its address",
                 "[session]")
{
    this->startTask();
    this->tickFor(Milliseconds(500));
    this->leave();
    this->port.holdReply = OrderReply::OtherIncarnation;
    this->tickFor(Milliseconds(300));
    CHECK(this->goneBy == DepartureEnd::OtherIncarnation);
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].outcome == RunOutcome::Lost);
}

// Guards against taking a broken or refused connection, which a network causes too, for the end of
// a process.
TEST_CASE_METHOD(SessionFixture,
                 "a leaving target whose connections are broken or refused may still run its tasks",
                 "[session]")
{
    this->startTask();
    this->tickFor(Milliseconds(500));
    this->leave();
    this->port.holdError = failure(ErrorCode::Unavailable, "the connection failed");
    this->port.holdError->ran = GENERATE(Ran::Unknown, Ran::No);
    this->tickFor(Milliseconds(3000));
    CHECK_FALSE(this->goneBy);
    CHECK(this->over.empty());
}

// Guards against a run that nobody watches: its placement was being stored when its target was put
// to rest.
TEST_CASE_METHOD(SessionFixture, "an order wakes a resting target, whose losses are noticed",
                 "[session]")
{
    this->session->allowRest();
    this->loop.runFor(Milliseconds(2000));
    REQUIRE(this->rests);
    CHECK_FALSE(this->session->isUsable());
    CHECK(this->session->isAvailable());
    const Instant lastGrant = this->port.lastGrantAt;
    this->loop.runFor(Milliseconds(2000));
    CHECK(this->port.lastGrantAt == lastGrant); // it is not polled
    this->startTask();
    CHECK_FALSE(this->rests);
    this->loop.runFor(Milliseconds(500));
    CHECK(this->session->isUsable());
    this->port.isSilent = true;
    for (int i = 0; i < 200; ++i) {
        this->loop.runFor(Milliseconds(100));
        this->session->tick();
    }
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].task == this->task);
}

TEST_CASE_METHOD(SessionFixture, "a target with work or unstored ends does not rest", "[session]")
{
    this->startTask();
    this->port.running = {{this->task, 1, "", std::nullopt}};
    this->loop.runFor(Milliseconds(500));
    this->session->allowRest();
    this->loop.runFor(Milliseconds(2000));
    CHECK_FALSE(this->rests);
    this->port.running.clear();
    this->port.ends = {{1, this->task, 1, RunOutcome::Succeeded, ""}};
    this->loop.runFor(Milliseconds(2000));
    CHECK(this->over.size() == 1);
    CHECK_FALSE(this->rests); // its end is not stored
    this->session->committed();
    this->loop.runFor(Milliseconds(500));
    CHECK_FALSE(this->rests); // it has not been told that its end is stored
    this->port.ends.clear();
    this->loop.runFor(Milliseconds(2000));
    CHECK(this->rests);
}

// Guards against a run that is lost although a later incarnation may have received its start.
TEST_CASE_METHOD(SessionFixture,
                 "only runs that cannot reach a later incarnation are lost with their own",
                 "[session]")
{
    const auto startAnother = [this](std::uint16_t index) {
        StartOrder order;
        order.task = {this->task.step, index};
        order.run = 1;
        this->session->start(order);
    };
    this->startTask();
    this->tickFor(Milliseconds(500)); // confirmed and listed
    startAnother(1);
    this->tickFor(Milliseconds(120)); // confirmed, and not listed yet
    this->port.isSilent = true;
    startAnother(2);
    this->tickFor(Milliseconds(200)); // not answered
    CHECK(this->session->beginSettling() == 2);
    const std::vector<UnsettledRun> unsettled = this->session->handOver();
    REQUIRE(unsettled.size() == 2);
    CHECK(unsettled[0].ifAbsent.task.index == 1);
    CHECK(unsettled[1].ifAbsent.task.index == 2);
    CHECK(unsettled[1].placedOn == this->session->incarnation());
    REQUIRE(this->over.size() == 1);
    CHECK(this->over[0].task == this->task);
    CHECK(this->session->unsettled() == 0);
}

// Guards against new work beside runs that an order for the earlier incarnation may still start.
TEST_CASE_METHOD(SessionFixture, "an inherited run is over once it is stopped and not listed",
                 "[session]")
{
    UnsettledRun run;
    run.placedOn = static_cast<IncarnationId>(9);
    run.ifAbsent.task = this->task;
    run.ifAbsent.run = 4;
    run.ifAbsent.outcome = RunOutcome::LostEarly;
    SECTION("it was never started")
    {
        this->session->inherit({run});
        CHECK_FALSE(this->session->isUsable());
        this->tickFor(Milliseconds(1000));
        REQUIRE(this->over.size() == 1);
        CHECK(this->over[0].outcome == RunOutcome::LostEarly);
    }
    SECTION("it has ended there")
    {
        this->port.ends = {{1, this->task, 4, RunOutcome::Succeeded, ""}};
        this->session->inherit({run});
        this->tickFor(Milliseconds(1000));
        REQUIRE(this->over.size() == 1);
        CHECK(this->over[0].outcome == RunOutcome::Succeeded);
    }
    SECTION("it runs there")
    {
        this->port.running = {{this->task, 4, ""}};
        this->session->inherit({run});
        this->tickFor(Milliseconds(1000));
        CHECK(this->over.empty());
        CHECK_FALSE(this->session->isUsable());
        this->port.running.clear();
        this->port.ends = {{1, this->task, 4, RunOutcome::Stopped, ""}};
        this->tickFor(Milliseconds(500));
        REQUIRE(this->over.size() == 1);
        CHECK(this->over[0].outcome == RunOutcome::Stopped);
    }
    CHECK(this->settledFrom == std::vector<IncarnationId>{run.placedOn});
    this->session->committed();
    this->tickFor(Milliseconds(500));
    CHECK(this->session->isUsable());
}

// Guards against a run that counts as bound to the target although a later incarnation has answered
// its start: not all answers name the incarnation that gives them.
TEST_CASE_METHOD(SessionFixture, "a start that a clock begun anew has answered is in doubt",
                 "[session]")
{
    this->port.startClockMs = -this->loop.nowMs() + 10; // of a later incarnation
    this->startTask();
    this->tickFor(Milliseconds(120));
    CHECK_FALSE(this->session->hasBegun(this->task));
    this->port.isSilent = true;
    this->tickFor(this->limits.lease + Milliseconds(1000));
    CHECK(this->overCount == 0);
    this->tickFor(this->limits.longestOrderDelay);
    CHECK(this->overCount == 1);
}

// Guards against a target that gets no work for the rest of the term because this controller polled
// another process at its address, or one that claimed to be of its name.
TEST_CASE_METHOD(SessionFixture, "a target that this controller itself has fenced is usable again",
                 "[session]")
{
    this->port.fence = this->lastFence += 1; // by a poll outside the session
    this->tickFor(Milliseconds(1000));
    CHECK(this->session->isUsable());
    SECTION("a later controller has")
    {
        this->port.fence = 1000000;
        this->tickFor(Milliseconds(1000));
        CHECK_FALSE(this->session->isUsable());
    }
}

// Guards against a poll that leaves a silent target open for a start which was sent before.
TEST_CASE_METHOD(SessionFixture, "polls of a silent target fence off unanswered starts",
                 "[session]")
{
    this->port.isSilent = true;
    this->startTask();
    const std::uint64_t sentWith = this->lastFence;
    this->tickFor(Milliseconds(3000));
    CHECK(this->port.lastHoldFence > sentWith);
}
