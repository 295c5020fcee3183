#pragma once

#include "decisions/scheduler.h"

#include <list>
#include <map>
#include <unordered_map>

namespace guavavalve {

/// The baseline for measurements: places tasks in order of arrival, each on the first target with
/// enough free capacity, and skips tasks that fit nowhere. It respects target capacities and team
/// limits and places gangs all at once; it knows no shares, classes, headroom or failing targets.
/// Its cost grows with the queue and with the fleet.
class FirstFitScheduler : public Scheduler
{
public:
    /// \a lookAheadTasks is the maximum number of waiting tasks that one decide() considers.
    explicit FirstFitScheduler(std::size_t lookAheadTasks = 100000);

    void applyPolicy(const Policy &policy, Instant now) override;
    void targetChanged(const TargetInfo &target, Instant now) override;
    void targetLost(TargetId target, Instant now) override;
    Result<void> submit(const TaskRequest &task, Instant now) override;
    void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                       Instant now) override;
    void taskEnded(TaskId task, AttemptOutcome end, Instant now) override;
    void requeue(TaskId task, AttemptOutcome end, Instant now) override;
    void placementRejected(TaskId task, Instant now) override;
    bool cancel(TaskId task, Instant now) override;
    void usageReported(TaskId task, const Resources &used, Instant at) override;
    void decide(Instant now, std::vector<Decision> &out) override;
    Instant nextWakeup() const override;
    Explanation explain(TaskId task) const override;
    Statistics statistics() const override;

private:
    struct Target
    {
        TargetInfo info;
        Resources placed;
        bool known = false; ///< announced and not lost since
    };
    struct Team
    {
        TeamPolicy policy;
        Resources placed;
        Resources waitingNeed;
        bool configured = false;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };
    struct Task
    {
        TaskRequest request;
        Resources charge;
        TargetId target = TargetId::None; ///< None: waiting
        bool cancelled = false;
        std::list<TaskId>::iterator position; ///< in the queue; valid while waiting
    };
    struct Gang
    {
        std::vector<TaskId> waiting;
        std::uint32_t submitted = 0;
        std::uint32_t outstanding = 0; ///< submitted and not ended
    };
    using Tasks = std::unordered_map<TaskId, Task>;

    bool fitsSomewhere(const TaskRequest &task) const;
    bool withinLimit(const Task &task) const;
    Target *firstFit(const Task &task);
    void joinGang(const TaskRequest &request);
    void enqueue(Task &task, bool front);
    void dequeue(Task &task);
    void setPlaced(Task &task, TargetId target);
    void release(Task &task);
    void forget(Tasks::iterator task);
    bool place(Task &task, std::vector<Decision> &out);
    bool placeGang(JobId job, std::vector<Decision> &out);
    void refuseExpired(Instant now, std::vector<Decision> &out);

    std::size_t lookAhead;
    Policy policy;
    std::map<TargetId, Target> targets;
    std::map<TeamId, Team> teams;
    Tasks tasks;
    std::unordered_map<JobId, Gang> gangs;
    std::list<TaskId> queue;
    std::array<ClassStatistics, workClassCount> classes;
};

} // namespace guavavalve
