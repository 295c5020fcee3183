#pragma once

#include "decisions/decision.h"
#include "decisions/policy.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavavalve::internal {

/// Plain books that a replay keeps of its own, so that what a trace states is checked against
/// something other than the scheduler's own figures.
class ReplayAccounting
{
public:
    void applyPolicy(const Policy &policy);
    void targetChanged(const TargetInfo &target) { this->totals[target.id] = target.total; }
    void submitted(const TaskRequest &task, Instant now);
    void restored(const TaskRequest &task, const Resources &charge, TargetId target, Instant now);
    void released(TaskId task); ///< its attempt is over
    void rejected(TaskId task); ///< its placement is undone, a gang's with all of the same time
    void decided(const Decision &decision, Instant now);

    /// Adds what has been counted to \a measures, by name.
    void report(std::map<std::string, double> &measures) const;

private:
    struct Entry
    {
        TeamId team = TeamId::None;
        bool prompt = false;
        bool started = false; ///< at least once
        bool gang = false;
        JobId job = JobId::None;
        Instant submittedAt{};
        Instant placedAt{};
        TargetId target = TargetId::None;
        Resources charge;
    };

    void place(Entry &entry, TargetId target, const Resources &charge, Instant now);

    std::unordered_map<TaskId, Entry> tasks;
    std::unordered_map<TargetId, Resources> totals;
    std::unordered_map<TargetId, Resources> onTarget;
    std::unordered_map<TeamId, Resources> ofTeam;
    std::unordered_map<TeamId, Resources> limits;
    std::vector<double> promptWaitsMs;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
    std::uint64_t roomBreaches = 0;
    std::uint64_t limitBreaches = 0;
    std::uint64_t doublePlacements = 0;
};

} // namespace guavavalve::internal
