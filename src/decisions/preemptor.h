#pragma once

#include "core/clock.h"
#include "decisions/decision.h"
#include "decisions/decisionlog.h"
#include "decisions/ledger.h"
#include "decisions/victimset.h"

#include <deque>
#include <vector>

namespace guavavalve::internal {

/// Makes room where work waits beyond its class's patience, where a limit was lowered below what
/// runs, and where measured use is more than a target has: by throttle, checkpoint, then stop,
/// batch first, the cheapest set that suffices. Only repeatable tasks of preemptible classes.
class Preemptor
{
public:
    Preemptor(Ledger &ledger, DecisionLog &log);

    /// Looks at the blocked queues and at what was asked for before.
    void update(Instant now, std::vector<Decision> &out);

    /// A limit may have been lowered: the next update() looks at every team.
    void limitsChanged() { this->limitsToCheck = true; }

    /// True if update() has something to do at once.
    bool hasWork() const
    {
        return this->limitsToCheck || !this->overused.empty() || !this->broken.empty();
    }

    /// When update() has something to insist on, or Instant::max().
    Instant nextEscalation() const;

    /// The measured use of a target has changed.
    void usageChanged(Index target);

    /// Ends the other tasks of a gang that has to start again.
    void stopRemainingMembers(const GangRecord &gang);

private:
    /// An ending that was asked for, to be asked for more firmly if nothing comes of it.
    struct Asked
    {
        Instant at{};
        TaskId task = TaskId::None;
        Instant placedAt{};
        Reason reason = Reason::None;
    };

    bool waitsTooLong(const WorkQueue &queue, Instant now) const;
    /// Room on a target that comes free and is meant for one of a queue's heads.
    struct Claim
    {
        Index target = noIndex;
        Resources room;
    };

    void makeRoomFor(Index queue, Instant now, std::vector<Decision> &out);
    bool mayEnd(const TaskRecord &task) const;
    bool givesWay(const TaskRecord &task, const WorkQueue &queue) const;
    VictimSet victimsOn(Index target, const WorkQueue &queue, Instant now) const;
    VictimSet bestVictims(const WorkQueue &queue, Instant now);
    Resources claimedOn(Index target) const;
    double costOf(const TaskRecord &task, Instant now) const;
    void enforceLimits(Instant now, std::vector<Decision> &out);
    void enforceLimit(Index team, std::vector<Index> &candidates, Instant now,
                      std::vector<Decision> &out);
    void relieve(Index target, Instant now, std::vector<Decision> &out);
    void end(Index task, Reason reason, Instant now, std::vector<Decision> &out);
    void ask(Index task, DecisionKind kind, Reason reason, Instant now, std::vector<Decision> &out);
    void insist(Instant now, std::vector<Decision> &out);

    Ledger &ledger;
    DecisionLog &log;
    std::deque<Asked> asked;
    std::vector<Index> overused;
    std::vector<TaskId> broken; ///< of gangs, to be stopped
    bool limitsToCheck = false;
    std::vector<Claim> claims; ///< of the queue that room is made for
    std::size_t queueCursor = 0;
    Index cursor = 0;
};

} // namespace guavavalve::internal
