#include "state/clusterstate.h"

#include "state/clusterstatedetails.h"

#include <iterator>
#include <utility>

namespace guavavalve {

ClusterState::ClusterState(std::uint8_t shard)
    : shardNumber(shard)
    , nextTaskId(static_cast<TaskId>((std::uint64_t{shard} << internal::shardShift) + 1))
{}

std::vector<CommandOutcome> ClusterState::apply(const CommandBatch &batch)
{
    std::vector<CommandOutcome> outcomes;
    outcomes.reserve(batch.commands.size());
    for (const Command &command : batch.commands) {
        if (batch.shard == this->shardNumber)
            outcomes.push_back(this->apply(command));
        else
            outcomes.emplace_back(failure(ErrorCode::InvalidArgument,
                                          "the batch is for shard " + std::to_string(batch.shard)
                                              + ", but this is shard "
                                              + std::to_string(this->shardNumber)));
    }
    return outcomes;
}

CommandOutcome ClusterState::apply(const Command &command)
{
    return std::visit([this](const auto &one) { return this->applyOne(one); }, command);
}

const JobRecord *ClusterState::job(JobId id) const
{
    const auto found = this->jobTable.find(id);
    return found == this->jobTable.end() ? nullptr : &found->second;
}

const JobRecord *ClusterState::jobOf(TaskId task) const
{
    auto after = this->jobTable.upper_bound(static_cast<JobId>(idValue(task)));
    if (after == this->jobTable.begin())
        return nullptr;
    const JobRecord &candidate = std::prev(after)->second;
    return candidate.position(task) < candidate.tasks.size() ? &candidate : nullptr;
}

JobRecord *ClusterState::findJobOf(TaskId task)
{
    return const_cast<JobRecord *>(std::as_const(*this).jobOf(task));
}

const TaskRecord *ClusterState::task(TaskId id) const
{
    const JobRecord *job = this->jobOf(id);
    return job == nullptr ? nullptr : &job->tasks[job->position(id)];
}

const TargetRecord *ClusterState::target(TargetId id) const
{
    const auto found = this->targetTable.find(id);
    return found == this->targetTable.end() ? nullptr : &found->second;
}

TargetRecord *ClusterState::findTarget(TargetId id)
{
    return const_cast<TargetRecord *>(std::as_const(*this).target(id));
}

const TargetRecord *ClusterState::targetNamed(const std::string &name) const
{
    const auto found = this->targetsByName.find(name);
    return found == this->targetsByName.end() ? nullptr : this->target(found->second);
}

const TeamRecord *ClusterState::team(TeamId id) const
{
    const auto found = this->teamTable.find(id);
    return found == this->teamTable.end() ? nullptr : &found->second;
}

const TeamRecord *ClusterState::teamNamed(const std::string &name) const
{
    const auto found = this->teamsByName.find(name);
    return found == this->teamsByName.end() ? nullptr : this->team(found->second);
}

const JobRecord *ClusterState::jobByIdempotencyKey(TeamId team,
                                                   const std::string &idempotencyKey) const
{
    const auto found = this->jobsByIdempotencyKey.find({team, idempotencyKey});
    return found == this->jobsByIdempotencyKey.end() ? nullptr : this->job(found->second);
}

Resources ClusterState::limitOf(TeamId team) const
{
    const TeamRecord *record = this->team(team);
    const TeamSection *policy = record == nullptr ? nullptr : this->document.team(record->name);
    return policy == nullptr ? Resources() : policy->limit;
}

} // namespace guavavalve
