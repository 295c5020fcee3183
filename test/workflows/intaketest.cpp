#include <catch2/catch.hpp>

#include "workflows/intake/intake.h"
#include "workflows/storefixture.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

constexpr std::uint64_t term = 3;
constexpr std::int64_t jobMilliCores = 1000;
constexpr std::uint32_t jobMs = 600;
constexpr double jobWork = static_cast<double>(jobMilliCores) * jobMs;

/// An intake whose queue "urgent" has an objective of 1.2 s and starts 100 jobs a second.
class IntakeFixture
{
public:
    explicit IntakeFixture(IntakeLimits limits = IntakeLimits())
        : intake(limits)
    {
        QueuePolicy queue;
        queue.stretch = 1.5;
        queue.slackMs = 300;
        this->policy.queues["urgent"] = queue;
        queue.stretch = 100.0;
        this->policy.queues["patient"] = queue;
        this->policy.accounts["a"].weight = 1.0;
        this->policy.accounts["b"].weight = 1.0;
        this->intake.begin(term, this->now);
    }

    WorkflowSpec job(std::uint64_t id, const std::string &account = "a",
                     const std::string &queue = "urgent") const
    {
        WorkflowSpec spec;
        spec.id = static_cast<WorkflowId>(id);
        spec.queue = queue;
        spec.account = account;
        spec.steps = {StoreFixture::step(1)};
        spec.steps[0].estimatedMs = jobMs;
        return spec;
    }

    CallStamp stampAt(Instant when) const { return {term, when.time_since_epoch().count()}; }

    /// A new attempt that arrives at once.
    IntakeDecision decide(const WorkflowSpec &spec)
    {
        return this->intake.decide(spec, this->stampAt(this->now), this->policy, 0, this->now);
    }
    IntakeDecision decide(const WorkflowSpec &spec, const CallStamp &stamp)
    {
        return this->intake.decide(spec, stamp, this->policy, 0, this->now);
    }

    /// Accepts and stores the job if the intake accepts it.
    bool submit(const WorkflowSpec &spec)
    {
        if (this->decide(spec).verdict != IntakeVerdict::Accept)
            return false;
        this->intake.accepted(spec, this->now);
        this->intake.settled(spec.id, term, StoreOutcome::Stored, this->now);
        this->waiting.emplace_back(this->now, spec.account);
        return true;
    }

    /// A plan that starts \a started jobs of \a queue, and leaves \a waiting and \a freeMilliCores.
    void plan(double started, const std::map<std::string, std::int64_t> &waiting,
              std::int64_t freeMilliCores = 0, const std::string &queue = "urgent")
    {
        QueueLoad load;
        load.startedWork = started * jobWork;
        for (const auto &[account, jobs] : waiting) {
            load.waitingWork[account] = static_cast<double>(jobs) * jobWork;
            load.waitingMilliCores += jobs * jobMilliCores;
        }
        this->intake.planned({{queue, load}}, freeMilliCores, {}, this->now);
    }

    void advance(Milliseconds by) { this->now += by; }

    /// For 4 s, "a" hands in \a ofA and "b" \a ofB jobs every 100 ms, of which ten are started.
    /// Returns how many of each were accepted in the last second.
    std::pair<std::size_t, std::size_t> play(std::size_t ofA, std::size_t ofB)
    {
        std::pair<std::size_t, std::size_t> taken;
        for (int i = 0; i < 40; ++i) {
            for (std::size_t k = 0; k < std::max(ofA, ofB); ++k) {
                const std::size_t isLast = i >= 30 ? 1 : 0;
                if (k < ofA && this->submit(this->job(++this->lastId, "a")))
                    taken.first += isLast;
                if (k < ofB && this->submit(this->job(++this->lastId, "b")))
                    taken.second += isLast;
            }
            this->advance(Milliseconds(100));
            this->startTen();
        }
        return taken;
    }

    /// Starts the oldest waiting jobs that are not late, then late ones.
    void startTen()
    {
        std::int64_t started = 0;
        const auto isLate = [&](Instant began) { return this->now - began > Milliseconds(600); };
        while (!this->waiting.empty() && isLate(this->waiting.front().first)) {
            this->waiting.pop_front();
            ++this->late;
        }
        for (; started < 10 && !this->waiting.empty(); ++started)
            this->waiting.pop_front();
        for (; started < 10 && this->late > 0; ++started)
            --this->late;
        std::map<std::string, std::int64_t> left;
        for (const auto &[since, account] : this->waiting)
            ++left[account];
        this->plan(static_cast<double>(started), left);
    }

    /// The queue is overloaded, and "a" beyond its share.
    void overload()
    {
        this->play(40, 5);
        for (int i = 0; i < 200 && this->submit(this->job(++this->lastId)); ++i) {}
    }

    Instant now{std::chrono::seconds(1000)};
    Policy policy;
    Intake intake;
    /// When each job that is not late was accepted, and its account.
    std::deque<std::pair<Instant, std::string>> waiting;
    std::int64_t late = 0;
    std::uint64_t lastId = 1000;
};

} // namespace

// Load: three times what can be served, handed in by one account of two.
TEST_CASE("a flood of one account costs that account, not the others", "[intake]")
{
    IntakeFixture cell;
    const auto [ofA, ofB] = cell.play(27, 3);
    CHECK(ofB == 30); // everything within its share
    CHECK(ofA > 40);
    CHECK(ofA < 90);
}

// Load: both accounts hand in more than the cell can serve.
TEST_CASE("accounts beyond their share get room by weight", "[intake]")
{
    IntakeFixture cell;
    cell.policy.accounts["b"].weight = 3.0;
    const auto [ofA, ofB] = cell.play(20, 20);
    CHECK(static_cast<double>(ofB) > 2.0 * static_cast<double>(ofA));
    CHECK(ofA + ofB < 130);
    CHECK(ofA + ofB > 60);
}

// Guards against a backlog that all callers pay for: what is accepted is bounded by what starts in
// time.
TEST_CASE("the backlog under three times the load stays within what callers can wait", "[intake]")
{
    IntakeFixture cell;
    cell.play(15, 15);
    CHECK(cell.intake.expectedWait("urgent", cell.now) < Milliseconds(1200));
}

// Guards against the worst refusal, one beside idle targets.
TEST_CASE("nothing is refused while targets have room", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    cell.plan(10, {{"a", 90}}, 100 * jobMilliCores);
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Accept);
    cell.plan(10, {{"a", 90}}, 10 * jobMilliCores);
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
}

// Guards against refusing a burst that the next plans place.
TEST_CASE("a short shortage is not an overload", "[intake]")
{
    IntakeFixture cell;
    for (int i = 0; i < 30; ++i) {
        cell.advance(Milliseconds(100));
        cell.plan(10, {});
    }
    cell.advance(Milliseconds(100));
    cell.plan(0, {{"a", 100}});
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Accept);
}

// Guards against refusing work that has minutes.
TEST_CASE("work that can wait is accepted", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    for (int i = 0; i < 30; ++i) {
        cell.advance(Milliseconds(100));
        cell.plan(10, {{"a", 1000}}, 0, "patient");
    }
    CHECK(cell.decide(cell.job(1, "a", "patient")).verdict == IntakeVerdict::Accept);
}

// Guards against callers that are turned away after the load has passed.
TEST_CASE("everything is accepted again soon after an overload", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    cell.plan(10, {});
    cell.advance(Milliseconds(600));
    cell.plan(10, {});
    CHECK(cell.decide(cell.job(2)).verdict == IntakeVerdict::Accept);
}

// Guards against a new controller that refuses because it has seen nothing start yet.
TEST_CASE("a new controller accepts until it has observed the load", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    cell.intake.begin(term, cell.now);
    for (int i = 0; i < 10; ++i) {
        cell.advance(Milliseconds(100));
        cell.plan(0, {{"a", 500}});
    }
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Accept);
}

// Guards against a request that runs after a 503, because an earlier attempt was delayed.
TEST_CASE("an attempt sent before the refusal of a later one is refused", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    const CallStamp first = cell.stampAt(cell.now - Milliseconds(300));
    REQUIRE(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    cell.plan(10, {});
    cell.advance(Milliseconds(1000));
    cell.plan(10, {});
    const IntakeDecision late = cell.decide(cell.job(1), first);
    CHECK(late.verdict == IntakeVerdict::Refuse);
    CHECK(late.cause == IntakeCause::Repeat);
    cell.advance(Milliseconds(1));
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Accept);
}

// Guards against the same when the refusal has been forgotten: the attempt is too old by then.
TEST_CASE("no attempt outlives the memory of a refusal", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    const CallStamp first = cell.stampAt(cell.now);
    cell.advance(Milliseconds(1));
    REQUIRE(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    for (int i = 0; i < 100; ++i) {
        cell.advance(Milliseconds(100));
        cell.plan(10, {});
        REQUIRE(cell.decide(cell.job(1), first).verdict != IntakeVerdict::Accept);
    }
}

// Guards against an attempt that a killed or frozen controller refused, delivered to the next one.
TEST_CASE("a call stamped for another controller is neither accepted nor refused", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    const CallStamp before = cell.stampAt(cell.now);
    REQUIRE(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    cell.intake.begin(term + 1, cell.now);
    CHECK(cell.decide(cell.job(1), before).verdict == IntakeVerdict::OtherTerm);
}

// Guards against an instance of an earlier build, whose calls have no stamp.
TEST_CASE("a call without a stamp is refused only if its identity was", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    CHECK(cell.decide(cell.job(1), CallStamp{}).verdict == IntakeVerdict::Accept);
    REQUIRE(cell.decide(cell.job(2)).verdict == IntakeVerdict::Refuse);
    const IntakeDecision repeat = cell.decide(cell.job(2), CallStamp{});
    CHECK(repeat.verdict == IntakeVerdict::Refuse);
    cell.advance(repeat.retryAfter);
    CHECK(cell.decide(cell.job(2), CallStamp{}).verdict == IntakeVerdict::Accept);
}

// Guards against a 503 for a request whose first attempt is being stored.
TEST_CASE("a request that is being stored is not refused", "[intake]")
{
    IntakeFixture cell;
    cell.intake.accepted(cell.job(1), cell.now);
    cell.overload();
    CHECK(cell.decide(cell.job(1), cell.stampAt(cell.now - Milliseconds(9000))).verdict
          == IntakeVerdict::Accept);
}

// Guards against refusals that could not be kept: a full table must not forget a promise.
TEST_CASE("nothing is refused that would not be remembered", "[intake]")
{
    IntakeLimits limits;
    limits.maxRefusedRequests = 5;
    IntakeFixture cell(limits);
    cell.overload();
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 10; ++id)
        refused += cell.decide(cell.job(id)).verdict == IntakeVerdict::Refuse ? 1 : 0;
    CHECK(refused <= 5);
}

// Guards against a store that grows without a bound while batch work waits for minutes.
TEST_CASE("a full store refuses work of all queues", "[intake]")
{
    IntakeFixture cell;
    const IntakeLimits limits;
    const WorkflowSpec spec = cell.job(1, "a", "patient");
    const auto decide = [&](std::size_t live) {
        return cell.intake.decide(spec, cell.stampAt(cell.now), cell.policy, live, cell.now);
    };
    CHECK(decide(limits.maxLiveWorkflows - 1).verdict == IntakeVerdict::Accept);
    CHECK(decide(limits.maxLiveWorkflows).cause == IntakeCause::StoreFull);
}

// Guards against a second flood when all refused callers come back at the same time.
TEST_CASE("refused callers come back spread over time and within bounds", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    const IntakeLimits limits;
    std::set<std::int64_t> seconds;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        const IntakeDecision decision = cell.decide(cell.job(id));
        REQUIRE(decision.verdict == IntakeVerdict::Refuse);
        CHECK(decision.retryAfter >= limits.minRetryAfter);
        CHECK(decision.retryAfter <= limits.maxRetryAfter);
        seconds.insert((decision.retryAfter.count() + 999) / 1000);
    }
    CHECK(seconds.size() > 1);
}

// Guards against callers that are overtaken by newcomers each time they come back.
TEST_CASE("who has waited goes before newcomers of the same account", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    REQUIRE(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    IntakeVerdict returner = IntakeVerdict::Refuse;
    IntakeVerdict newcomer = IntakeVerdict::Refuse;
    for (std::int64_t left = 40; returner == IntakeVerdict::Refuse && left > 0; --left) {
        cell.advance(Milliseconds(100));
        cell.plan(10, {{"a", left}});
        newcomer = cell.decide(cell.job(static_cast<std::uint64_t>(left) + 100)).verdict;
        returner = cell.decide(cell.job(1)).verdict;
    }
    CHECK(returner == IntakeVerdict::Accept);
    CHECK(newcomer == IntakeVerdict::Refuse);
}

// Guards against weights that are kept from an earlier configuration.
TEST_CASE("a new weight, or an account that is gone, counts at once", "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    REQUIRE(cell.decide(cell.job(1)).verdict == IntakeVerdict::Refuse);
    cell.policy.accounts["a"].weight = 1000.0;
    cell.policy.accounts.erase("b");
    CHECK(cell.decide(cell.job(2)).verdict == IntakeVerdict::Accept);
}

// Load: the controller stores less than is handed in, while the targets are idle.
TEST_CASE("a slow store costs the account with most of the requests", "[intake]")
{
    IntakeFixture cell;
    std::uint64_t id = 0;
    for (int i = 0; i < 30; ++i) {
        for (int k = 0; k < 10; ++k) {
            cell.intake.accepted(cell.job(++id, k < 9 ? "a" : "b"), cell.now);
            if (id > 60)
                cell.intake.settled(static_cast<WorkflowId>(id - 60), term, StoreOutcome::Stored,
                                    cell.now);
        }
        cell.advance(Milliseconds(100));
        cell.plan(10, {}, 1000000);
    }
    CHECK(cell.decide(cell.job(9001, "a")).cause == IntakeCause::BeyondShare);
    CHECK(cell.decide(cell.job(9002, "b")).verdict == IntakeVerdict::Accept);
}

// Guards against a stamp of another machine's clock, whose age would count as nothing.
TEST_CASE("a stamp in the future is of another controller's clock", "[intake]")
{
    IntakeFixture cell;
    CHECK(cell.decide(cell.job(1), cell.stampAt(cell.now + Milliseconds(1))).verdict
          == IntakeVerdict::OtherTerm);
    CHECK(cell.decide(cell.job(1), cell.stampAt(cell.now - IntakeLimits().attemptLifetime)).verdict
          == IntakeVerdict::TooOld);
}

// Guards against failures to store that count as stored work for the rest of the term.
TEST_CASE("a failed attempt to store does not count against the bound on live workflows",
          "[intake]")
{
    IntakeLimits limits;
    limits.maxLiveWorkflows = 10;
    IntakeFixture cell(limits);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        REQUIRE(cell.decide(cell.job(id)).verdict == IntakeVerdict::Accept);
        cell.intake.accepted(cell.job(id), cell.now);
        cell.intake.settled(static_cast<WorkflowId>(id), term, StoreOutcome::Unknown, cell.now);
    }
    CHECK(cell.decide(cell.job(21)).verdict == IntakeVerdict::Accept);
}

// Guards against a 503 for a request that is stored although the proposal has failed.
TEST_CASE("a request whose storing has failed uncertainly is not refused", "[intake]")
{
    IntakeFixture cell;
    cell.intake.accepted(cell.job(1), cell.now);
    cell.intake.accepted(cell.job(2), cell.now);
    cell.intake.settled(static_cast<WorkflowId>(1), term, StoreOutcome::Unknown, cell.now);
    cell.intake.settled(static_cast<WorkflowId>(2), term, StoreOutcome::NotStored, cell.now);
    cell.overload();
    CHECK(cell.decide(cell.job(1)).verdict == IntakeVerdict::Accept);
    CHECK(cell.decide(cell.job(2)).verdict == IntakeVerdict::Refuse);
}

// Guards against a refusal of a request while one of its submissions is still open.
TEST_CASE("a request is being stored until all of its submissions are settled", "[intake]")
{
    IntakeFixture cell;
    const auto id = static_cast<WorkflowId>(1);
    cell.intake.accepted(cell.job(1), cell.now);
    cell.intake.accepted(cell.job(1), cell.now);
    cell.intake.settled(id, term, StoreOutcome::NotStored, cell.now);
    cell.intake.settled(id, term - 1, StoreOutcome::NotStored, cell.now); // of an earlier term
    CHECK(cell.intake.isBeingStored(id));
    cell.intake.settled(id, term, StoreOutcome::NotStored, cell.now);
    CHECK_FALSE(cell.intake.isBeingStored(id));
}

// Guards against refusals to callers who have done nothing, since others have overloaded a queue.
TEST_CASE("an account of which nothing waits is accepted however long others wait", "[intake]")
{
    for (const char *queue : {"urgent", "patient"}) {
        CAPTURE(queue);
        IntakeFixture cell;
        cell.policy.queues["patient"].stretch = 5.0; // its results are of use for 10 s
        for (int i = 0; i < 120; ++i) {
            cell.advance(Milliseconds(100));
            cell.plan(1, {{"a", 10000}}, 0, queue);
        }
        CHECK(cell.decide(cell.job(1, "a", queue)).verdict == IntakeVerdict::Refuse);
        CHECK(cell.decide(cell.job(2, "b", queue)).verdict == IntakeVerdict::Accept);
    }
}

// Guards against small jobs refused beside room that only large tasks cannot use.
TEST_CASE("a job smaller than the waiting tasks is accepted while there is room for several",
          "[intake]")
{
    IntakeFixture cell;
    cell.overload();
    QueueLoad load;
    load.waitingWork["a"] = 1000 * jobWork;
    load.waitingMilliCores = 1000 * jobMilliCores;
    load.smallestTaskMilliCores = 8 * jobMilliCores;
    cell.intake.planned({{"urgent", load}}, 10 * jobMilliCores, {}, cell.now);
    std::size_t accepted = 0;
    while (accepted < 20 && cell.submit(cell.job(accepted + 1)))
        ++accepted;
    CHECK(accepted >= 5);
    CHECK(accepted <= 10); // what is accepted until the next plan takes room too
}

// Guards against a return of all callers at the same time after a long overload.
TEST_CASE("callers are spread over time also when the wait is a minute", "[intake]")
{
    IntakeLimits limits;
    limits.maxLiveWorkflows = 5000;
    IntakeFixture cell(limits);
    for (int i = 0; i < 40; ++i) {
        cell.advance(Milliseconds(100));
        cell.plan(0, {{"a", 10000}});
    }
    REQUIRE(cell.intake.expectedWait("urgent", cell.now) == Milliseconds(60000));
    std::set<std::int64_t> whenOverloaded;
    std::set<std::int64_t> whenFull;
    for (std::uint64_t id = 1; id <= 50; ++id) {
        const IntakeDecision overloaded = cell.decide(cell.job(id));
        const IntakeDecision full =
            cell.intake.decide(cell.job(100 + id), cell.stampAt(cell.now), cell.policy,
                               limits.maxLiveWorkflows, cell.now);
        REQUIRE(overloaded.verdict == IntakeVerdict::Refuse);
        REQUIRE(full.cause == IntakeCause::StoreFull);
        CHECK(overloaded.retryAfter <= limits.maxRetryAfter);
        whenOverloaded.insert(overloaded.retryAfter.count());
        whenFull.insert(full.retryAfter.count());
    }
    CHECK(whenOverloaded.size() > 2);
    CHECK(whenFull.size() > 2);
}

// Guards against a disk that stalls wholly: nothing is stored, so no delay is observed.
TEST_CASE("a store that has stalled costs the account with most of the requests", "[intake]")
{
    IntakeFixture cell;
    for (std::uint64_t id = 1; id <= 100; ++id)
        cell.submit(cell.job(id, id % 2 == 0 ? "a" : "b"));
    for (std::uint64_t id = 101; id <= 200; ++id)
        cell.intake.accepted(cell.job(id, id % 33 == 0 ? "b" : "a"), cell.now);
    CHECK(cell.decide(cell.job(9000, "a")).verdict == IntakeVerdict::Accept);
    cell.advance(Milliseconds(900));
    CHECK(cell.decide(cell.job(9001, "a")).cause == IntakeCause::BeyondShare);
    CHECK(cell.decide(cell.job(9002, "b")).verdict == IntakeVerdict::Accept);
}

// Guards against one account's batch work that closes the store to everybody.
TEST_CASE("a nearly full store refuses the accounts with most of the work first", "[intake]")
{
    IntakeFixture cell;
    const std::size_t most = IntakeLimits().maxLiveWorkflows;
    const std::size_t nearly = most * 85 / 100;
    cell.policy.queues["patient"].priority = 5;
    cell.intake.liveCounted({{"a", nearly - 100}, {"b", 100}}, cell.now);
    const auto cause = [&](std::uint64_t id, const char *account, const char *queue,
                           std::size_t live) {
        return cell.intake
            .decide(cell.job(id, account, queue), cell.stampAt(cell.now), cell.policy, live,
                    cell.now)
            .cause;
    };
    CHECK(cause(1, "a", "patient", nearly) == IntakeCause::StoreFull);
    CHECK(cause(2, "b", "patient", nearly) == IntakeCause::None);
    CHECK(cause(3, "b", "patient", most * 95 / 100) == IntakeCause::StoreFull);
    CHECK(cause(4, "b", "urgent", most * 95 / 100) == IntakeCause::None);
    CHECK(cause(5, "b", "urgent", most) == IntakeCause::StoreFull);
}

// Guards against an attempt that runs after a later one was refused for an evacuation.
TEST_CASE("a refusal for an evacuation is remembered, and not given for what is being stored",
          "[intake]")
{
    IntakeFixture cell;
    const CallStamp first = cell.stampAt(cell.now);
    cell.advance(Milliseconds(100));
    const auto decide = [&](std::uint64_t id, const CallStamp &stamp, bool isEvacuated) {
        return cell.intake.decide(cell.job(id), stamp, cell.policy, 0, cell.now, isEvacuated);
    };
    CHECK(decide(1, cell.stampAt(cell.now), true).cause == IntakeCause::Evacuated);
    CHECK(decide(1, first, false).cause == IntakeCause::Repeat);
    cell.intake.accepted(cell.job(2), cell.now);
    CHECK(decide(2, cell.stampAt(cell.now), true).verdict == IntakeVerdict::Accept);
}
