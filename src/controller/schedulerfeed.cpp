#include "controller/schedulerfeed.h"

#include "decisions/decisions.h"
#include "state/clusterstate.h"

#include <algorithm>

namespace guavavalve {

Policy SchedulerFeed::policy(const ClusterState &state) const
{
    const CellSection &cell = state.configuration().cell();
    Policy policy;
    // The replicated state reserves the declared resources, so the scheduler must not reserve less.
    policy.correctSizes = false;
    policy.quarantine.maxFleetFraction = static_cast<double>(cell.quarantinePercent) / 100.0;
    const double nonPromptShare = 1.0 - static_cast<double>(cell.promptHeadroomPercent) / 100.0;
    policy.of(WorkClass::Batch).maxShare = nonPromptShare;
    policy.of(WorkClass::Gang).maxShare = nonPromptShare;
    for (ClassPolicy &classPolicy : policy.classes)
        classPolicy.maxWaiting = static_cast<std::uint32_t>(cell.maxWaitingTasks);
    for (const auto &[id, team] : state.teams()) {
        const TeamSection *section = state.configuration().team(team.name);
        if (section == nullptr)
            continue;
        TeamPolicy teamPolicy;
        teamPolicy.team = id;
        teamPolicy.weight = static_cast<double>(section->share);
        teamPolicy.limit = state.limitOf(id);
        policy.teams.push_back(teamPolicy);
    }
    return policy;
}

TargetInfo SchedulerFeed::targetInfo(const TargetRecord &target)
{
    TargetInfo info;
    info.id = target.id;
    info.incarnation = target.incarnation;
    info.failureDomain = this->domains.number(target.failureDomain);
    info.rack = this->racks.number(target.failureDomain + '/' + target.rack);
    info.total = target.total;
    info.departing = !target.takesWork();
    return info;
}

TaskRequest SchedulerFeed::taskRequest(const JobRecord &job, TaskId task,
                                       const TimePair &time) const
{
    TaskRequest request;
    request.id = task;
    request.job = job.id;
    request.jobTasks = std::max<std::uint32_t>(1, job.unfinished);
    request.team = job.team;
    request.workClass = job.workClass;
    request.need = job.need;
    request.startBy = time.deadline(job.startBy);
    request.declaredRunTime = Milliseconds(job.declaredRunTimeMs);
    request.repeatable = job.repeatable;
    return request;
}

std::vector<SchedulerFeed::Refused>
SchedulerFeed::rebuild(Scheduler &scheduler, const ClusterState &state, const TimePair &time)
{
    std::vector<Refused> refused;
    scheduler.applyPolicy(this->policy(state), time.now);
    for (const auto &[id, target] : state.targets()) {
        scheduler.targetChanged(this->targetInfo(target), time.now);
        if (target.lapsed)
            scheduler.targetLost(id, time.now);
    }
    for (const auto &[id, job] : state.jobs()) {
        if (job.finished())
            continue;
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            const TaskRecord &task = job.tasks[i];
            const TaskRequest request = this->taskRequest(job, job.taskId(i), time);
            if (task.state == TaskState::Placed) {
                scheduler.restorePlaced(request, job.need, task.target, time.now);
            } else if (task.state == TaskState::Waiting) {
                const Result<void> submitted = scheduler.submit(request, time.now);
                if (!submitted)
                    refused.push_back({id, request.id, submitted.error()});
            }
        }
    }
    return refused;
}

} // namespace guavavalve
