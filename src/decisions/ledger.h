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

/// The scheduler's state: tasks, queues, teams, gangs and targets, kept consistent with each
/// other. Makes no scheduling decisions.
class Ledger
{
public:
    Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    void applyPolicy(const Policy &policy);

    /// The index of a team; creates it if it is unknown.
    Index teamIndex(TeamId team);
    Index findTeam(TeamId team) const;
    Index findTask(TaskId task) const;
    GangRecord *gangOf(const TaskRecord &task);

    /// True if \a request differs from the tasks that its gang already has. A gang is planned with
    /// a single task shape, so a different task would be placed on a target without room for it.
    bool mismatchesGang(const TaskRequest &request) const;

    /// Adds a task, which is neither waiting nor placed yet.
    Index add(const TaskRequest &request, Instant now);

    /// Removes a task that is neither waiting nor placed.
    void remove(Index task);

    /// Marks the task as waiting, at the front of its queue if \a front. A gang enters its queue
    /// once it is complete.
    void enqueue(Index task, bool front, Instant now);
    void dequeue(Index task);

    /// Allocates \a charge on the target and accounts it to the team. The task must not be waiting.
    void place(Index task, Index target, const Resources &charge, Instant now);

    /// Reverts place(); the task is then neither waiting nor placed.
    void release(Index task);

    /// Records that the target may have room that waiting work has not been tried on yet.
    void markFreed(Index target)
    {
        if (!this->fleet[target].freed) {
            this->fleet[target].freed = true;
            this->freedTargets.push_back(target);
        }
    }

    /// Removes a gang from its queue, before its tasks are dequeued one by one.
    void unlinkGang(GangRecord &gang);

    /// Changes a target's failure domain and rack, and updates the spread of the services on it.
    void moveTarget(Index target, std::uint16_t domain, std::uint16_t rack);

    /// Makes the queue eligible for placement, if it has tasks. With \a hintsOnly, only targets
    /// that recently freed room are considered.
    void makeReady(Index queue, bool hintsOnly);

    /// Blocks the queue until room is freed or its team's limit allows more.
    void block(Index queue, QueueState state, Reason reason, Instant now);

    /// Makes the queues of \a team in QueueState::AtLimit ready again.
    void limitChanged(Index team);

    /// Recomputes the rank of every team after the fleet or the weights have changed.
    void updateRanks();

    /// The team furthest below its share that has a ready queue, or noIndex.
    Index nextTeam(Round round) const;

    bool withinLimit(const TeamRecord &team, const Resources &charge) const
    {
        return team.configured && !team.policy.frozen
            && (team.placed + charge).fitsInto(team.policy.limit);
    }

    /// The rank that a team would have with \a extra placed in addition (or removed, if negative).
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
    std::vector<Resources> blockedCharges; ///< charges of `blocked`, contiguous for fast scanning
    std::vector<Index> freedTargets; ///< targets that gained room since the list was last consumed
    std::array<ClassStatistics, workClassCount> classes;
    std::array<Resources, workClassCount> placedByClass;
    Resources placed; ///< on all targets

private:
    void setState(Index queue, QueueState state);
    void leaveState(Index queue);
    std::vector<Index> *listOfState(const WorkQueue &queue);
    void addToOrder(Index team, Round round);
    void removeFromOrder(Index team, Round round);
    void updateRank(Index team);
    void linkGang(GangRecord &gang, bool front);
    void leaveGang(Index task);
    void link(Index task, bool front);
    void unlink(Index task);

    using Order = std::set<std::pair<double, Index>>;

    std::unordered_map<TaskId, Index> taskById;
    std::unordered_map<TeamId, Index> teamById;
    std::unordered_map<JobId, GangRecord> gangs;
    std::unordered_map<JobId, Spread> spreads; ///< by service job, while tasks of it are placed
    std::array<Order, roundCount> orders;
    Resources rankedAgainst; ///< the fleet's total when ranks were last computed
};

} // namespace guavavalve::internal
