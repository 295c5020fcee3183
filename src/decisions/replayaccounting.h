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

/// Accounts for placements independently of the scheduler, so that a replay does not check a trace
/// against the scheduler's own figures. Its event methods are called in the order of the trace.
class ReplayAccounting
{
public:
    void applyPolicy(const Policy &policy);
    void targetChanged(const TargetInfo &target) { this->totals[target.id] = target.total; }
    void submitted(const TaskRequest &task, Instant now);
    void restored(const TaskRequest &task, const Resources &charge, TargetId target, Instant now);
    void released(TaskId task); ///< its attempt has ended
    /// Undoes its placement; for a gang, all placements of its job that were made at that time.
    void rejected(TaskId task);
    void decided(const Decision &decision, Instant now);

    /// Adds the counted figures to \a measures, by name.
    void report(std::map<std::string, double> &measures) const;

private:
    struct TaskEntry
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

    void place(TaskEntry &entry, TargetId target, const Resources &charge, Instant now);

    std::unordered_map<TaskId, TaskEntry> tasks;
    std::unordered_map<TargetId, Resources> totals;
    std::unordered_map<TargetId, Resources> placedOnTarget;
    std::unordered_map<TeamId, Resources> placedByTeam;
    std::unordered_map<TeamId, Resources> limits;
    std::vector<double> promptWaitsMs;
    std::uint64_t placed = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
    std::uint64_t roomViolations = 0;
    std::uint64_t limitViolations = 0;
    std::uint64_t doublePlacements = 0;
};

} // namespace guavavalve::internal
