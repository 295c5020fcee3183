#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "decisions/classstatistics.h"
#include "decisions/fleet.h"
#include "decisions/gangrecord.h"
#include "decisions/policy.h"
#include "decisions/queuetable.h"
#include "decisions/slab.h"
#include "decisions/spread.h"
#include "decisions/taskrecord.h"
#include "decisions/taskrequest.h"
#include "decisions/teamrecord.h"

#include <array>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace guavavalve::internal {

/// The scheduler's books: tasks, queues, teams, gangs and targets, kept consistent with each
/// other. It decides nothing.
class Ledger
{
public:
    Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    void applyPolicy(const Policy &policy);

    /// The index of a team, made if it is unknown.
    Index teamIndex(TeamId team);
    Index findTeam(TeamId team) const;
    Index findTask(TaskId task) const;
    GangRecord *gangOf(const TaskRecord &task);

    /// True if \a request is unlike the tasks that its gang already has: a gang is planned by one
    /// shape, so that an unlike task would be placed where it has no room.
    bool mismatchesGang(const TaskRequest &request) const;

    /// Takes a task into the books; it neither waits nor is placed yet.
    Index add(const TaskRequest &request, Instant now);

    /// Takes a task that neither waits nor is placed out of the books.
    void remove(Index task);

    /// The task waits from now on, at the front of its queue if \a front. A gang stands in its
    /// queue once it is complete.
    void enqueue(Index task, bool front, Instant now);
    void dequeue(Index task);

    /// Sets \a charge aside on the target and counts it for the team. The task must not wait.
    void place(Index task, Index target, const Resources &charge, Instant now);

    /// Gives back what place() took; the task neither waits nor is placed.
    void release(Index task);

    /// The target may have room that waiting work has not seen yet.
    void markFreed(Index target)
    {
        if (!this->fleet[target].freed) {
            this->fleet[target].freed = true;
            this->freedTargets.push_back(target);
        }
    }

    /// Takes a gang out of its queue before its tasks are dequeued one by one.
    void unlinkGang(GangRecord &gang);

    /// A target is in another place than it was; what stands on it moves along.
    void moveTarget(Index target, std::uint16_t domain, std::uint16_t rack);

    /// The queue may be looked at.
    void makeReady(Index queue, bool hintsOnly);

    /// The queue waits for room, or for its team's limit.
    void block(Index queue, QueueState state, Reason reason, Instant now);

    /// Queues in QueueState::AtLimit of \a team may be looked at again.
    void limitChanged(Index team);

    /// Puts every team's rank right after the fleet or the weights have changed.
    void updateRanks();

    /// The team furthest below its share that has a queue to look at, or noIndex.
    Index nextTeam(Round round) const;

    bool withinLimit(const TeamRecord &team, const Resources &charge) const
    {
        return team.configured && !team.policy.frozen
            && (team.placed + charge).fitsInto(team.policy.limit);
    }

    /// A team's rank if \a extra were placed besides (or taken away, if negative).
    double rankWith(const TeamRecord &team, const Resources &extra) const;

    Resources &classPlaced(WorkClass workClass)
    {
        return this->placedByClass[static_cast<std::size_t>(workClass)];
    }
    ClassStatistics &counts(WorkClass workClass)
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
    const Spread *spreadOf(const TaskRecord &task) const;

    Policy policy;
    Fleet fleet;
    TaskSlab tasks;
    QueueTable queues;
    Slab<TeamRecord> teams;
    std::vector<Index> blocked; ///< queues in QueueState::NoRoom
    std::vector<Resources> blockedCharges; ///< theirs, side by side for a quick look over all
    std::vector<Index> freedTargets; ///< targets that gained room since they were last taken
    std::array<ClassStatistics, workClassCount> classes;
    std::array<Resources, workClassCount> placedByClass;
    Resources placed; ///< on all targets

private:
    void setState(Index queue, QueueState state);
    void leaveState(Index queue);
    std::vector<Index> *listOf(const WorkQueue &queue);
    void order(Index team, Round round);
    void disorder(Index team, Round round);
    void updateRank(Index team);
    void linkGang(GangRecord &gang, bool front);
    void leaveGang(Index task);
    void link(Index task, bool front);
    void unlink(Index task);

    using Order = std::set<std::pair<double, Index>>;

    std::unordered_map<TaskId, Index> taskById;
    std::unordered_map<TeamId, Index> teamById;
    std::unordered_map<JobId, GangRecord> gangs;
    std::unordered_map<JobId, Spread> spreads; ///< of services with several tasks
    std::array<Order, roundCount> orders;
    Resources rankedAgainst; ///< the fleet's total when ranks were last put right
};

} // namespace guavavalve::internal
