#pragma once

#include "core/clock.h"
#include "workflows/model/departureend.h"
#include "workflows/model/incarnationend.h"
#include "workflows/model/runend.h"
#include "workflows/model/targetidentity.h"
#include "workflows/model/unsettledrun.h"
#include "workflows/sessions/targetclock.h"
#include "workflows/sessions/targetport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Timeouts and other limits of a controller's session with a target. Times are in milliseconds.
struct SessionLimits
{
    /// Length of a granted lease: long enough to outlast a change of controller (about 2 s), and no
    /// longer than targets accept.
    Milliseconds lease{6000};
    /// The longest lease that a target accepts. An order that reaches a later incarnation may get
    /// it there: the end that it states is a time on the earlier incarnation's clock.
    Milliseconds longestLease{6000};
    /// How long after it was sent an order without an answer may still be carried out: networks and
    /// loaded targets have held orders for up to 12 s.
    Milliseconds longestOrderDelay{12000};
    /// How much slower a target's clock may run, in thousandths. Its leases last longer by that
    /// much.
    std::int64_t maxClockDriftPerThousand = 20;
    /// Added to a lease before it counts as expired: the uncertainty in reading the target's clock.
    Milliseconds leaseMargin{150};
    /// How long a target waits for a run to end before it answers a poll.
    Milliseconds maxHoldWait{1000};
    /// Timeout of the answer to an order, in addition to the time that the target may wait.
    Milliseconds orderTimeout{700};
    /// A start that is not answered within this time makes its target unusable: one takes 1 to 5
    /// ms, and ten times that on a loaded or slow path.
    Milliseconds unansweredStartLimit{250};
    /// A start that is not answered within this time is given up; a stop then settles whether the
    /// run started.
    Milliseconds startTimeout{2000};
    Milliseconds resendDelay{150}; ///< between two attempts to send an order
    /// Between two polls of a leaving target that does not answer: most have ended by then, and
    /// each poll costs a connection attempt.
    Milliseconds departedPollDelay{500};
    Milliseconds stopLimit{900}; ///< from a stop until the end of its run is listed
    /// If a target falls silent within this time after it has started a run, the run may have
    /// crashed it. Long enough for a task to initialise.
    Milliseconds earlyLossWindow{500};
};

/// The state of one incarnation of a target as known to one controller in one term, and the orders
/// that the controller has pending there. Runs on the controller's loop.
///
/// A run counts as over when the target lists its end; when a list that was requested after the
/// target had confirmed an order for the run contains neither the run nor its end; when a list that
/// was requested with a higher fencing token than all orders that may start the run contains
/// neither; when the incarnation is over; or when every lease that may have been granted has
/// expired even by the slowest clock that a target may have.
///
/// A run is in doubt while a copy of its start may still be carried out by a later incarnation of
/// the target, which nothing but a higher fencing token prevents. It is then not over with its
/// incarnation or its lease, but once any incarnation has listed its runs under a higher token, or
/// when the copies and the longest lease have expired.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
    struct Hooks
    {
        /// Receives runs that are over. Each is reported once; committed() must be called when the
        /// ends are stored.
        std::function<void(std::vector<RunEnd> ends)> runsOver;
        /// Receives the runs that the target lists as running. Called before runsOver for the same
        /// list.
        std::function<void(const std::vector<RunningTask> &running)> listed;
        /// The target has become usable for new work, or is no longer.
        std::function<void()> usableChanged;
        /// The target is no longer polled, or is polled again. May be empty if it never rests.
        std::function<void(bool rests)> restChanged;
        /// Another incarnation, or another target, answers at its address.
        std::function<void(IncarnationEnd how)> incarnationOver;
        /// The end of a run that was unsettled, and placed on \a placedOn, has been reported.
        std::function<void(IncarnationId placedOn)> settled;
        /// Returns a fencing token that is higher than all that this controller has given.
        std::function<std::uint64_t()> nextFence;
        std::function<void(Microseconds delay, std::function<void()>)> runAfter;
        /// True if no later controller can have made decisions yet: only then are leases granted.
        std::function<bool()> isCurrent;
        /// How late this controller's own loop runs: answers may have arrived that it has not read
        /// yet.
        std::function<Microseconds()> loopLag;
    };

    TargetSession(IncarnationId incarnation, TargetIdentity identity, SessionLimits limits,
                  TargetPort &port, Hooks hooks, Clock clock);

    IncarnationId incarnation() const { return this->number; }
    const TargetIdentity &identity() const { return this->targetIdentity; }

    /// Starts polling. Runs that were adopted before were placed in earlier terms.
    void begin();
    /// Starts without polling, for a target on which nothing is placed. It rests until it is woken.
    void beginResting();
    /// Polls a resting target again. It becomes usable with its next answer.
    void wake();
    /// Lets the target rest, which means that it is no longer polled, after a poll that shows it to
    /// be idle and to know that all its ends are stored.
    void allowRest() { this->mayRest = true; }
    bool isResting() const { return this->restsNow; }
    /// Ends the session: nothing is sent or reported afterwards.
    void end();

    /// Adds a run that an earlier controller placed. It is unknown whether its order arrived.
    /// \a keptUntil: by then a later incarnation of the target that has carried out its start keeps
    /// it no longer. Not set if the run is not to be held in doubt.
    void adopt(const TaskAddress &task, RunNumber run, Instant keptUntil = {});
    /// Starts a run whose placement is stored, and sends the order until it is answered.
    /// \a isTrial: the run may crash the target, so no other run should be started there for a
    /// short time.
    /// \a isHeldInDoubt: false for a task that must not wait long for its next run. It is lost once
    /// its lease has expired, although a later incarnation may still start it.
    void start(StartOrder order, bool isTrial = false, bool isHeldInDoubt = true);
    /// Stops a run, sending the order until it is answered. Returns false if there is no such run
    /// or it is being stopped already.
    bool stop(const TaskAddress &task);
    /// All ends reported so far are stored: the target may forget them.
    void committed();

    /// Records a heartbeat of this incarnation, or the readiness that is stored of it.
    /// \a coldFor: how much longer the target is slow after its start.
    void recordHeartbeat(bool isReady, Milliseconds coldFor = Milliseconds(0));
    /// A heartbeat of this incarnation that matches what is stored of it has reached another
    /// replica.
    void recordUnchangedReport() { this->lastHeartbeatAt = this->clock(); }
    /// Its failure domain is evacuated, or no longer is. While it is, starts that get no answer are
    /// settled by a stop instead of being sent again.
    void setEvacuated(bool isEvacuated);
    /// The incarnation is over: reports all its runs as lost and ends the session.
    void declareLost();
    /// The incarnation is over and a later one has begun under the same name. Reports the runs that
    /// no order can start there as lost. The others are unsettled: whatever process answers at the
    /// address is polled with a higher fencing token until it shows that they do not run there.
    /// Returns the number of unsettled runs that were placed on this incarnation.
    std::size_t beginSettling();
    /// Ends a session that settles, and returns the runs that still are unsettled.
    std::vector<UnsettledRun> handOver();
    /// Settles runs of earlier incarnations: stops those that are listed, and reports their ends.
    /// Until then the target is not usable.
    void inherit(const std::vector<UnsettledRun> &unsettled);
    /// How long runs remain unsettled at most if nothing is heard of a later incarnation: until the
    /// last order has arrived and the longest lease that it may have got there has expired.
    static Milliseconds settlingTime(const SessionLimits &limits);
    /// When the latest order that may have given a later incarnation a lease was sent; not set if
    /// there is none.
    Instant lastUnansweredGrant() const;
    /// Orders for an earlier incarnation may have given this one the longest lease.
    void expectEarlierLease();
    /// Gives later orders a higher fencing token than any other of this controller.
    void renewFence();
    /// Number of unsettled runs, of this incarnation and of earlier ones.
    std::size_t unsettled() const { return this->unsettledRuns; }
    /// The target has announced that it ends soon. It is polled until it has, and gets no further
    /// lease: until then its runs continue, and ends that it lists count. \a done: called once its
    /// end is known or its last lease has expired, when everything has been reported.
    void leave(std::function<void(DepartureEnd how)> done);
    /// Detects expired leases. Must be called frequently.
    void tick();

    /// True if new work may be started there: the target is not draining, answers, and its runs are
    /// known.
    bool isUsable() const;
    /// True if it is usable, or probably is once it has been woken.
    bool isAvailable() const
    {
        const bool isUnknown = this->restsNow || this->isWaking;
        return this->isUsable() || (isUnknown && this->reportsReady && !this->isOver());
    }
    /// True for a short time after the start of a run that may crash the target.
    bool isOnTrial() const { return this->clock() < this->trialUntil; }
    bool isCold() const { return this->clock() < this->coldUntil; }
    /// True if nothing has been received from the target for \a silence and nothing is placed on
    /// it.
    bool isForgettable(Milliseconds silence) const;
    bool isOver() const { return this->hasEnded || this->isLeaving || this->settles; }
    /// True if the target has been polled in this term, and has never answered.
    bool isUnanswered() const { return this->wasPolled && !this->hasAnswered(); }
    bool hasAnswered() const { return this->targetClock.isKnown(); }
    /// True if the target has confirmed the start of the placed run, or has listed it.
    bool hasBegun(const TaskAddress &task) const;
    std::size_t orders() const { return this->runs.size(); }

private:
    /// Number of consecutive polls without an answer after which no lease is renewed. If the path
    /// is interrupted in one direction only, polls that arrive would otherwise renew the lease
    /// indefinitely. The next poll is answered without waiting, and after its answer the lease is
    /// renewed again.
    static constexpr unsigned maxUnansweredPolls = 1;

    enum class Phase : std::uint8_t {
        Adopted, ///< placed in an earlier term
        Sending, ///< its start has not been answered yet
        Confirmed, ///< the target has started it, or will not start it any more
        Over, ///< its end has been reported
    };
    struct Run
    {
        RunNumber run = 0;
        Phase phase = Phase::Adopted;
        StartOrder order; ///< empty for an adopted run
        std::string checkpoint; ///< the newest one listed
        Instant confirmedAt{}; ///< when an order for it was last answered
        bool wasListed = false;
        bool wasStarted = false; ///< the target confirmed its start
        /// An attempt to send its start failed after something had been written.
        bool maybeSent = false;
        Instant placedAt{}; ///< when its start was first sent; not set for adopted runs
        bool wasRefused = false; ///< an unhealthy target refused its start
        unsigned unansweredCopies = 0; ///< sent copies of its start that may still arrive
        /// The highest token of an order that may start it; 0: below those of this session.
        std::uint64_t startFence = 0;
        /// By then no unanswered copy of its start can be carried out any more. Not set for an
        /// adopted run of which there can be none.
        Instant copiesExpireAt{};
        /// If it is unsettled: the incarnation that it was placed on; otherwise None.
        IncarnationId unsettledFrom = IncarnationId::None;
        RunOutcome ifAbsent = RunOutcome::Lost; ///< of an unsettled run that is not found
        bool isStopRequested = false;
        bool isHeldInDoubt = true; ///< it is not started elsewhere while it is in doubt
    };
    /// One order that was sent for a run.
    struct Attempt
    {
        RunNumber run = 0;
        std::uint64_t fence = 0;
        Instant sentAt{};
    };

    void hold();
    void finishLeaving(DepartureEnd how);
    void onHold(const HoldOrder &order, Instant sentAt, Result<HoldAnswer> answer);
    void onSettlingHold(const HoldOrder &order, Instant sentAt, const Result<HoldAnswer> &answer);
    void pollAgain(bool isFirst);
    bool isIdle(const HoldAnswer &answer) const;
    void processLists(const HoldOrder &order, const HoldAnswer &answer, Instant sentAt);
    void processEnds(const HoldAnswer &answer, std::vector<RunEnd> &over);
    void processRunning(const HoldAnswer &answer);
    void findMissing(const HoldOrder &order, const HoldAnswer &answer, Instant sentAt,
                     std::vector<RunEnd> &over);
    void sendStart(const TaskAddress &task);
    void onStart(const TaskAddress &task, const Attempt &sent, Result<OrderAnswer> answer);
    void startAnswered(const TaskAddress &task, Run &run, OrderReply reply);
    void startFailed(const TaskAddress &task, Run &run, const Error &error);
    void retryStart(const TaskAddress &task, Run &run);
    void giveUpUnsent(const TaskAddress &task, Run &run);
    void resolveByStop(const TaskAddress &task, Run &run);
    void sendStop(const TaskAddress &task, RunNumber run);
    void onStop(const TaskAddress &task, const Attempt &sent, Result<OrderAnswer> answer);
    void runLater(Microseconds delay, std::function<void()> action);
    void answered(std::int64_t clockMs);
    std::int64_t grantLease();
    std::int64_t leaseForStart();
    bool hasUnansweredStart(Instant now) const;
    Microseconds loopLag() const;
    bool processReply(OrderReply reply, std::uint64_t fence);
    bool isOfLaterClock(OrderReply reply, std::int64_t clockMs, Instant sentAt) const;
    static Error unknownAnswer();
    void fenceOffCopies();
    void recordGrant(Instant sentAt);
    void finishGrant(Instant sentAt);
    void laterClockSeen();
    /// True if no later incarnation can carry out the order: this one has answered it, or nothing
    /// was sent.
    template<typename Answer>
    static bool isFinished(const Result<Answer> &answer)
    {
        if (!answer)
            return answer.error().ran == Ran::No;
        return answer.value().reply != OrderReply::OtherIncarnation
            && answer.value().reply != OrderReply::Reborn;
    }
    Instant inDoubtUntil(const Run &run) const;
    RunEnd over(const TaskAddress &task, Run &run, RunOutcome outcome, std::string checkpoint);
    void report(std::vector<RunEnd> ends);
    void reportLost();
    void reportExpired();
    void reportLost(const std::function<bool(const Run &run)> &isLost);
    RunOutcome lossOf(const Run &run) const;
    bool isBoundToIncarnation(const Run &run) const;
    bool isEarly(const Run &run) const;
    bool isEveryRunOver() const;
    void updateUsable();

    IncarnationId number;
    TargetIdentity targetIdentity;
    SessionLimits limits;
    TargetPort &port;
    Hooks hooks;
    Clock clock;
    std::uint64_t fence; ///< token of the next order

    std::map<TaskAddress, Run> runs;
    /// Runs that are listed but that this controller did not place.
    std::map<TaskAddress, RunNumber> foreignRuns;
    std::uint64_t highestListedEnd = 0; ///< highest number of a listed end
    std::uint64_t highestStoredEnd = 0; ///< ends up to this number are stored
    std::size_t pendingReports = 0;
    bool isAwaitingStore = false;
    bool isPolling = false;
    bool wasPolled = false;
    bool wasPollAnswered = false; ///< the last one, by this incarnation
    bool hasRunList = false; ///< listed its runs in this term, and since its leases last expired
    bool isFenced = false;
    bool hasEnded = false;
    bool isLeaving = false;
    bool settles = false; ///< its incarnation is over, and some of its runs are unsettled
    bool wasDoubtLogged = false; ///< since the last answer
    std::function<void(DepartureEnd how)> onLeft;
    bool reportsReady = false;
    bool isEvacuated = false;
    Instant coldUntil{};
    bool wasUsable = false;
    bool mayRest = false;
    bool restsNow = false; ///< nothing is placed there, and it is not polled
    bool isWaking = false; ///< polled again, and not answered yet
    unsigned failures = 0; ///< consecutive polls without an answer
    std::size_t unansweredStarts = 0; ///< number of runs in phase Sending
    std::size_t unsettledRuns = 0; ///< number of unsettled runs whose end has not been reported
    std::vector<IncarnationId> settledFrom; ///< by the ends that are being reported
    Instant unreachableUntil{}; ///< after a failed connection; no new work before this
    Instant trialUntil{};
    Instant lastHeartbeatAt{};
    TargetClock targetClock;
    std::int64_t leaseUntilMs = 0; ///< end of the last granted lease by the target's clock
    Instant leaseEndsAt{}; ///< the same by this instance's clock, from its reading of the target's
    Instant leasesExpireAt{}; ///< by then every lease that may have been granted has expired
    /// By then every lease that a later incarnation may have got from these orders has expired.
    Instant laterLeasesExpireAt{};
    /// When orders that grant a lease, and that this incarnation has not answered, were sent.
    std::multiset<Instant> unansweredGrants;
};

} // namespace guavavalve::workflows
