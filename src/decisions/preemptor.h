#pragma once

#include "core/clock.h"
#include "decisions/decision.h"
#include "decisions/decisionlog.h"
#include "decisions/ledger.h"
#include "decisions/victimset.h"

#include <deque>
#include <vector>

namespace guavavalve::internal {

/// Preempts running tasks when work has waited longer than its class's preemption delay, when a
/// limit was lowered below a team's current use, or when the measured use of a target exceeds its
/// capacity. Tasks are throttled, checkpointed or, last, stopped; the cheapest sufficient set is
/// chosen. Only repeatable tasks of preemptible classes are preempted.
class Preemptor
{
public:
    Preemptor(Ledger &ledger, DecisionLog &log);

    /// Examines the blocked queues and the pending requests.
    void update(Instant now, std::vector<Decision> &out);

    /// Makes the next update() check every team, because a limit may have been lowered.
    void limitsChanged() { this->limitsToCheck = true; }

    /// True if update() has work that is due immediately.
    bool hasWork() const
    {
        return this->limitsToCheck || !this->overusedTargets.empty()
            || !this->membersToStop.empty();
    }

    /// The time when the next pending request is to be escalated, or Instant::max().
    Instant nextEscalation() const;

    /// Checks a target whose measured use has changed.
    void usageChanged(Index target);

    /// Schedules a stop of the remaining placed tasks of a gang that has to be restarted.
    void stopRemainingMembers(const GangRecord &gang);

private:
    /// A requested checkpoint or stop, escalated if the task does not end in time.
    struct PendingRequest
    {
        Instant at{};
        TaskId task = TaskId::None;
        Instant placedAt{};
        Reason reason = Reason::None;
    };

    /// Room that is being freed on a target for one of a queue's heads.
    struct Claim
    {
        Index target = noIndex;
        Resources room;
    };

    bool waitsTooLong(const WorkQueue &queue, Instant now) const;
    void preemptFor(Index queue, Instant now, std::vector<Decision> &out);
    bool isPreemptible(const TaskRecord &task) const;
    bool isPreemptibleFor(const TaskRecord &task, const WorkQueue &queue) const;
    VictimSet victimsOn(Index target, const WorkQueue &queue, Instant now) const;
    VictimSet bestVictims(const WorkQueue &queue, Instant now);
    Resources claimedOn(Index target) const;
    double costOf(const TaskRecord &task, Instant now) const;
    void enforceLimits(Instant now, std::vector<Decision> &out);
    void enforceLimit(Index team, std::vector<Index> &candidates, Instant now,
                      std::vector<Decision> &out);
    void relieveOveruse(Index target, Instant now, std::vector<Decision> &out);
    void requestCheckpoint(Index task, Reason reason, Instant now, std::vector<Decision> &out);
    void issueRequest(Index task, DecisionKind kind, Reason reason, Instant now,
                      std::vector<Decision> &out);
    void escalate(Instant now, std::vector<Decision> &out);

    Ledger &ledger;
    DecisionLog &log;
    std::deque<PendingRequest> pending;
    std::vector<Index> overusedTargets;
    std::vector<TaskId> membersToStop; ///< gang members that the next update() stops
    bool limitsToCheck = false;
    std::vector<Claim> claims; ///< of the queue for which room is being made
    std::size_t queueCursor = 0;
    Index cursor = 0;
};

} // namespace guavavalve::internal
