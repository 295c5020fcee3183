#pragma once

#include "core/clock.h"
#include "decisions/decision.h"
#include "decisions/decisionlog.h"
#include "decisions/ledger.h"
#include "decisions/quarantine.h"
#include "decisions/reservations.h"

#include <vector>

namespace guavavalve::internal {

/// Places waiting tasks in this order: prompt work before other work, then the team furthest below
/// its share, and within a team the queue whose preemption delay expires first.
class Placer
{
public:
    Placer(Ledger &ledger, Reservations &reservations, Quarantine &quarantine, DecisionLog &log);

    /// Places as many tasks as possible, up to a limit. Returns true if another run could place
    /// more immediately.
    bool run(Instant now, std::vector<Decision> &out);

private:
    /// A target that gained room, with its free capacity at the start of the run.
    struct Hint
    {
        Index target = noIndex;
        Resources free;
        Resources sharedFree;
    };

    void takeHints();
    void measureHintRoom();
    void wakeQueues(Instant now);
    void requeueHints();
    void retryBlocked(Instant now);
    bool mayUse(const WorkQueue &queue, const TargetRecord &target, Instant now) const;
    bool hintsFit(const WorkQueue &queue, Instant now) const;
    void placeProbes(Instant now, std::vector<Decision> &out);
    Index findProbeTask(const TargetRecord &target) const;
    bool suitsProbe(Index queue, const TargetRecord &target) const;
    void runRound(Round round, Instant now, std::vector<Decision> &out);
    Index nextQueue(const TeamRecord &team, Round round) const;
    void tryQueue(Index queue, Instant now, std::vector<Decision> &out);
    bool trySingle(Index queue, Instant now, std::vector<Decision> &out);
    bool tryGang(Index queue, Instant now, std::vector<Decision> &out);
    bool planGang(const WorkQueue &queue, const GangRecord &gang);
    void undoPlan(const Resources &charge);
    bool overClassShare(const WorkQueue &queue) const;
    TargetFound findTarget(const WorkQueue &queue, const TaskRecord &task, Instant now);
    TargetFound findHeadroom(const WorkQueue &queue);
    TargetFound findAmongHints(const WorkQueue &queue, Instant now) const;
    void commit(Index task, Index target, Reason reason, std::uint32_t considered, Instant now,
                std::vector<Decision> &out);

    Ledger &ledger;
    Reservations &reservations;
    Quarantine &quarantine;
    DecisionLog &log;
    std::vector<Hint> hints; ///< targets that gained room since the last run
    /// Blocked queues whose head fits a hinted target but that were not woken.
    std::vector<Index> skippedQueues;
    Resources hintRoom; ///< largest free amount on any hint, by kind
    /// Targets chosen for a gang's tasks. The resources are allocated in the fleet while the gang
    /// is being planned, but the tasks are not placed in the ledger yet.
    std::vector<Index> plan;
    std::size_t headroomCursor = 0;
    std::size_t retryCursor = 0;
    std::size_t placedInRun = 0;
};

} // namespace guavavalve::internal
