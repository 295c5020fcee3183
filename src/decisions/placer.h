#pragma once

#include "core/clock.h"
#include "decisions/decision.h"
#include "decisions/decisionlog.h"
#include "decisions/ledger.h"
#include "decisions/quarantine.h"
#include "decisions/reservations.h"

#include <vector>

namespace guavavalve::internal {

/// Places waiting tasks: prompt work first, then team by team, the one furthest below its share
/// first, and within a team the queue whose patience ends first.
class Placer
{
public:
    Placer(Ledger &ledger, Reservations &reservations, Quarantine &quarantine, DecisionLog &log);

    /// Places what can be placed, up to a bound; true if more could follow at once.
    bool run(Instant now, std::vector<Decision> &out);

private:
    /// A target that gained room, and what it had at the start of the run.
    struct Hint
    {
        Index target = noIndex;
        Resources free;
        Resources sharedFree;
    };

    void takeHints();
    void measureHintRoom();
    void wakeQueues(Instant now);
    void renewHints();
    void retryOldest(Instant now);
    bool mayUse(const WorkQueue &queue, const TargetRecord &target, Instant now) const;
    bool hintsFit(const WorkQueue &queue, Instant now) const;
    void probe(Instant now, std::vector<Decision> &out);
    Index probeTask(const TargetRecord &target) const;
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
    std::vector<Hint> hints; ///< targets that have gained room since the last run
    std::vector<Index> unwoken; ///< blocked queues that fit a hint and were not looked at
    Resources hintRoom; ///< the most that any of them has free, by kind
    std::vector<Index> plan; ///< targets of a gang's tasks, taken in the fleet but not the books
    std::size_t holderCursor = 0;
    std::size_t retryCursor = 0;
    std::size_t placedInRun = 0;
};

} // namespace guavavalve::internal
