#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <utility>

namespace guavavalve {
namespace internal {

namespace {

Result<void> checkRegistration(const RegisterTarget &command)
{
    for (const std::string *text :
         {&command.name, &command.address, &command.failureDomain, &command.rack}) {
        if (text->size() > maxIdBytes)
            return failure(ErrorCode::InvalidArgument,
                           "a target's name, address, failure domain and rack may have at most 256 "
                           "bytes each");
    }
    if (command.name.empty() || command.address.empty())
        return failure(ErrorCode::InvalidArgument, "a target needs a name and an address");
    if (!command.total.isNonNegative() || !command.total.fitsInto(unlimitedResources()))
        return failure(ErrorCode::InvalidArgument,
                       "target " + quoted(command.name)
                           + " announces a resource amount that is not from 0 to 2^53");
    return boost::outcome_v2::success();
}

/// Ensures that after its lease has expired, the target's name is reused only by a process that
/// cannot have received a start request sent under that lease.
Result<void> checkIncarnation(const RegisterTarget &command, const TargetRecord &known)
{
    if (command.incarnation < known.incarnation)
        return failure(ErrorCode::Conflict,
                       "target " + quoted(command.name) + " has incarnation "
                           + std::to_string(known.incarnation) + "; incarnation "
                           + std::to_string(command.incarnation) + " is outdated");
    if (command.incarnation == known.incarnation && known.lapsed)
        return failure(ErrorCode::Conflict,
                       "the lease of target " + quoted(command.name) + " expired in incarnation "
                           + std::to_string(command.incarnation)
                           + "; it must stop its tasks and register with a higher incarnation");
    return boost::outcome_v2::success();
}

} // namespace

} // namespace internal

CommandOutcome ClusterState::applyOne(const RegisterTarget &command)
{
    if (auto checked = internal::checkRegistration(command); checked.has_error())
        return checked.error();
    const TargetRecord *known = this->targetNamed(command.name);
    if (known != nullptr) {
        if (auto checked = internal::checkIncarnation(command, *known); checked.has_error())
            return checked.error();
    } else if (this->targetTable.size() >= internal::maxTargets) {
        return failure(ErrorCode::LimitExceeded,
                       "the maximum of " + std::to_string(internal::maxTargets)
                           + " targets is registered");
    }

    const TargetId id = known != nullptr ? known->id : this->nextTargetId;
    if (known == nullptr) {
        this->nextTargetId = static_cast<TargetId>(idValue(id) + 1);
        this->targetsByName[command.name] = id;
    }
    TargetRecord &target = this->targetTable[id];
    if (known != nullptr && command.incarnation > target.incarnation)
        this->endAttemptsAsLost(target, "target " + command.name + " restarted");
    target.id = id;
    target.name = command.name;
    target.incarnation = command.incarnation;
    target.address = command.address;
    target.failureDomain = command.failureDomain;
    target.rack = command.rack;
    target.total = command.total;
    target.departing = command.departing;
    target.evacuated = this->evacuated.count(command.failureDomain) != 0;
    target.lapsed = false;
    TargetRegistered registered;
    registered.target = id;
    return CommandValue(registered);
}

CommandOutcome ClusterState::applyOne(const LapseTarget &command)
{
    TargetRecord *target = this->findTarget(command.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::idText(command.target));
    if (target->incarnation != command.incarnation)
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name) + " has incarnation "
                           + std::to_string(target->incarnation) + ", not "
                           + std::to_string(command.incarnation));
    target->lapsed = true;
    this->endAttemptsAsLost(*target, "the lease of target " + target->name + " expired");
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const RetireTarget &command)
{
    const TargetRecord *target = this->target(command.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::idText(command.target));
    if (!target->tasks.empty() || target->takesWork())
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name)
                           + " can be removed only when it takes no work and has no tasks");
    this->targetsByName.erase(target->name);
    this->targetTable.erase(command.target);
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const SetTargetDraining &command)
{
    TargetRecord *target = this->findTarget(command.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::idText(command.target));
    target->draining = command.draining;
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const SetDomainEvacuated &command)
{
    bool isKnown = this->evacuated.count(command.failureDomain) != 0;
    for (const auto &[id, target] : this->targetTable)
        isKnown = isKnown || target.failureDomain == command.failureDomain;
    if (!isKnown)
        return failure(ErrorCode::NotFound,
                       "no target is registered in failure domain "
                           + internal::quoted(command.failureDomain));
    if (command.evacuated)
        this->evacuated.insert(command.failureDomain);
    else
        this->evacuated.erase(command.failureDomain);
    for (auto &[id, target] : this->targetTable) {
        if (target.failureDomain == command.failureDomain)
            target.evacuated = command.evacuated;
    }
    return CommandValue(Nothing());
}

void ClusterState::endAttemptsAsLost(TargetRecord &target, const std::string &reason)
{
    const std::vector<TaskId> placed = target.tasks;
    for (const TaskId id : placed) {
        JobRecord &job = *this->findJobOf(id);
        EndAttempt end;
        end.task = id;
        end.attempt = job.tasks[job.position(id)].attempt;
        end.outcome = AttemptOutcome::Lost;
        end.message = reason;
        this->endAttempt(job, end);
    }
}

} // namespace guavavalve
