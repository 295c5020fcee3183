#pragma once

#include "core/clock.h"
#include "workflows/runend.h"
#include "workflows/targetidentity.h"
#include "workflows/targetport.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// Times that bound what a controller may believe of a target. All in milliseconds.
struct SessionLimits
{
    /// Length of a granted lease: long enough to outlast a change of controller (about 2 s), and
    /// at most what the targets grant.
    Milliseconds lease{6000};
    /// A target's clock may be this much slow, in thousandths; its lease then lasts longer.
    std::int64_t clockDrift = 20;
    /// Added to a lease before it counts as over: what the reading of its clock is unsure by.
    Milliseconds leaseMargin{150};
    Milliseconds holdWait{1000}; ///< how long a target waits for an end before it answers
    Milliseconds orderLimit{700}; ///< for an answer beyond what the target may wait
    /// A start that is not answered for this long makes its target doubtful: one takes 1 to 5 ms,
    /// and on a loaded or slowed path ten times that.
    Milliseconds startPatience{250};
    /// A start that is not answered for this long is given up: a stop settles whether it began.
    Milliseconds startLimit{2000};
    Milliseconds resendPause{150}; ///< between two sends of one order
    Milliseconds stopLimit{900}; ///< what a stop may take until its run's end is listed
    Milliseconds farewellLimit{300}; ///< for the last answer of a target that has said goodbye
    /// A target that falls silent within this time after it has begun a run may have been crashed
    /// by it: long enough for a task to set itself up.
    Milliseconds earlyLoss{500};
};

/// What one controller, in one term, knows of one life of a target, and the orders that it has
/// under way there. Runs on the controller's loop.
///
/// A run counts as over when the target lists its end; when the target, asked after it had
/// confirmed an order for the run, lists neither the run nor its end; when its life is over; or
/// when every lease that may have been granted has run out by the target's slowest clock.
class TargetSession : public std::enable_shared_from_this<TargetSession>
{
public:
    struct Hooks
    {
        /// Runs that are over. They are reported once; committed() follows when it is stored.
        std::function<void(std::vector<RunEnd> ends)> runsOver;
        /// What runs there; called before runsOver for the same list.
        std::function<void(const std::vector<RunningTask> &running)> listed;
        /// Its room may be used from now on, or no longer.
        std::function<void()> usableChanged;
        /// Another life answers at its address.
        std::function<void()> lifeOver;
        std::function<void(Microseconds delay, std::function<void()>)> runAfter;
        /// No later controller can have decided yet: leases may be granted.
        std::function<bool()> isCurrent;
        /// How late this controller's own loop runs: answers may have come that it has not read.
        std::function<Microseconds()> ownLag;
    };

    TargetSession(IncarnationId incarnation, TargetIdentity identity, std::uint64_t term,
                  SessionLimits limits, TargetPort &port, Hooks hooks, Clock clock);

    IncarnationId incarnation() const { return this->number; }
    const TargetIdentity &identity() const { return this->who; }

    /// Begins to ask. Orders adopted before are those of earlier terms.
    void begin();
    /// Ends the session: nothing is sent or reported any more.
    void end();

    /// A run that an earlier controller placed; whether its order arrived is not known.
    void adopt(const TaskAddress &task, RunNumber run);
    /// Starts a run whose placement is stored, and sends the order until it is answered.
    /// \a isTrial: the run may crash the target, and is to be alone there at first.
    void start(StartOrder order, bool isTrial = false);
    /// Stops a run, sending the order until it is answered. False: there is none, or it is being
    /// stopped already.
    bool stop(const TaskAddress &task);
    /// The ends that were reported are stored up to here: the target may forget them.
    void committed();

    /// A heartbeat of this life, or what is stored of an earlier one.
    /// \a coldFor: how much longer it is slow after its start.
    void heard(bool isReady, Milliseconds coldFor = Milliseconds(0));
    /// Its failure domain is evacuated, or no longer: starts that are not answered are settled.
    void setEvacuated(bool isEvacuated);
    /// The target's life is over: everything on it is.
    void declareOver();
    /// The target has said goodbye. What ends it lists in an answer that is under way still count;
    /// all else there is over then. \a gone: all of it has been reported.
    void leave(std::function<void()> gone);
    /// To be called often: lets leases lapse.
    void tick();

    /// New work may go there: it does not drain, answers, and what runs there is known.
    bool isUsable() const;
    /// A run that may crash the target has been started there so lately that it still may.
    bool isOnTrial() const { return this->clock() < this->trialUntil; }
    bool isCold() const { return this->clock() < this->coldUntil; }
    /// Nothing has been heard of it for long and nothing is placed on it.
    bool isForgettable(Milliseconds silence) const;
    bool isOver() const { return this->hasEnded || this->isLeaving; }
    /// The target has said that it began the run that is placed here, or listed it.
    bool hasBegun(const TaskAddress &task) const;
    std::size_t orders() const { return this->runs.size(); }

private:
    enum class Phase : std::uint8_t {
        Adopted, ///< of an earlier term
        Sending, ///< its start has not been answered
        Confirmed, ///< the target has it, or has settled it
        Over, ///< reported
    };
    struct Run
    {
        RunNumber run = 0;
        Phase phase = Phase::Adopted;
        StartOrder order; ///< empty for an adopted run
        std::string checkpoint; ///< the newest that was listed
        Instant confirmedAt{}; ///< when an order for it was last answered
        bool wasListed = false;
        bool wasStarted = false; ///< its start was answered as carried out
        bool mayHaveLeft = false; ///< a send of its start has failed after something was written
        Instant placedAt{}; ///< when its start was first to be sent; not of adopted runs
        bool wasRefused = false; ///< its start, by a target that is not well
        bool isStopWanted = false;
    };

    void hold();
    void takeFarewell(const Result<HoldAnswer> &answer);
    void finishLeaving();
    void onHold(Instant sentAt, Result<HoldAnswer> answer);
    void takeLists(const HoldAnswer &answer, Instant sentAt);
    void takeEnds(const HoldAnswer &answer, std::vector<RunEnd> &over);
    void takeRunning(const HoldAnswer &answer);
    void findMissing(const HoldAnswer &answer, Instant sentAt, std::vector<RunEnd> &over);
    void sendStart(const TaskAddress &task);
    void onStart(const TaskAddress &task, RunNumber run, const Result<OrderAnswer> &answer);
    void startFailed(const TaskAddress &task, Run &run, const Error &error);
    void sendAgain(const TaskAddress &task, Run &run);
    void giveUpUnsent(const TaskAddress &task, Run &run);
    void settleByStop(const TaskAddress &task, Run &run);
    void sendStop(const TaskAddress &task, RunNumber run);
    void onStop(const TaskAddress &task, RunNumber run, const Result<OrderAnswer> &answer);
    void later(Microseconds delay, std::function<void()> action);
    void answered(std::int64_t clockMs);
    std::int64_t grantLease();
    std::int64_t leaseForStart();
    bool hasUnansweredStart(Instant now) const;
    Microseconds ownLag() const;
    bool takeReply(OrderReply reply);
    RunEnd over(const TaskAddress &task, Run &run, RunOutcome outcome, std::string checkpoint);
    void reportLost();
    bool isEarly(const Run &run) const;
    void noteUsable();

    IncarnationId number;
    TargetIdentity who;
    std::uint64_t term;
    SessionLimits limits;
    TargetPort &port;
    Hooks hooks;
    Clock clock;

    std::map<TaskAddress, Run> runs;
    std::map<TaskAddress, RunNumber> foreign; ///< listed as running, and not ours to have there
    std::uint64_t seen = 0; ///< highest number of an end that was listed
    std::uint64_t stored = 0; ///< highest whose ends are stored
    std::size_t reportsUnderWay = 0;
    bool waitsForStore = false;
    bool isHolding = false;
    bool hasRunList = false; ///< asked in this term, and since a lapse
    bool isFenced = false;
    bool hasEnded = false;
    bool isLeaving = false;
    std::function<void()> whenGone;
    bool reportsReady = false;
    bool isEvacuated = false;
    Instant coldUntil{};
    bool wasUsable = false;
    unsigned failures = 0; ///< questions in a row without an answer
    std::size_t unansweredStarts = 0; ///< runs in phase Sending
    Instant unreachableUntil{}; ///< no connection came about; it is given nothing before
    Instant trialUntil{};
    Instant heardAt{}; ///< last heartbeat
    Instant answeredAt{};
    std::int64_t clockMs = 0; ///< the target's, at answeredAt
    std::int64_t leaseUntilMs = 0; ///< what was granted last, on the target's clock
    Instant leaseEndsAt{}; ///< the same on this clock, by its reading of the target's
    Instant lapsesAt{}; ///< every lease that may have been granted is over by then
};

} // namespace guavavalve::workflows
