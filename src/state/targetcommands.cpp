#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"

#include <utility>

namespace guavavalve {
namespace internal {

namespace {

Result<void> checkTexts(const RegisterTarget &command)
{
    for (const std::string *text :
         {&command.name, &command.address, &command.failureDomain, &command.rack}) {
        if (text->size() > longestId)
            return failure(ErrorCode::InvalidArgument,
                           "a target's names are at most 256 bytes long");
    }
    if (command.name.empty() || command.address.empty())
        return failure(ErrorCode::InvalidArgument, "a target needs a name and an address");
    if (!command.total.isNonNegative() || !command.total.fitsInto(unlimitedResources()))
        return failure(ErrorCode::InvalidArgument,
                       "target " + quoted(command.name)
                           + " announces an amount below zero or beyond 2^53");
    return boost::outcome_v2::success();
}

/// The second rule at work: the name comes back only as a process that never saw the old starts.
Result<void> checkIncarnation(const RegisterTarget &command, const TargetRecord &known)
{
    if (command.incarnation < known.incarnation)
        return failure(ErrorCode::Conflict,
                       "target " + quoted(command.name) + " has incarnation "
                           + std::to_string(known.incarnation) + "; "
                           + std::to_string(command.incarnation) + " is over");
    if (command.incarnation == known.incarnation && known.lapsed)
        return failure(ErrorCode::Conflict,
                       "the lease of target " + quoted(command.name) + " lapsed in incarnation "
                           + std::to_string(command.incarnation)
                           + "; it must end its tasks and come back with a higher one");
    return boost::outcome_v2::success();
}

} // namespace

} // namespace internal

CommandOutcome ClusterState::applyOne(const RegisterTarget &command)
{
    if (auto checked = internal::checkTexts(command); checked.has_error())
        return checked.error();
    const TargetRecord *known = this->targetNamed(command.name);
    if (known != nullptr) {
        if (auto checked = internal::checkIncarnation(command, *known); checked.has_error())
            return checked.error();
    } else if (this->targetTable.size() >= internal::mostTargets) {
        return failure(ErrorCode::LimitExceeded, "there are as many targets as there may be");
    }

    const TargetId id = known != nullptr ? known->id : this->nextTarget;
    if (known == nullptr) {
        this->nextTarget = static_cast<TargetId>(idValue(id) + 1);
        this->targetsByName[command.name] = id;
    }
    TargetRecord &target = this->targetTable[id];
    if (known != nullptr && command.incarnation > target.incarnation)
        this->loseAttempts(target, "target " + command.name + " started anew");
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
                       "there is no target " + internal::numberOf(command.target));
    if (target->incarnation != command.incarnation)
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name) + " has incarnation "
                           + std::to_string(target->incarnation) + " by now");
    target->lapsed = true;
    this->loseAttempts(*target, "the lease of target " + target->name + " lapsed");
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const RetireTarget &command)
{
    const TargetRecord *target = this->target(command.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::numberOf(command.target));
    if (!target->tasks.empty() || target->takesWork())
        return failure(ErrorCode::Conflict,
                       "target " + internal::quoted(target->name)
                           + " is forgotten only when it takes no work and holds none");
    this->targetsByName.erase(target->name);
    this->targetTable.erase(command.target);
    return CommandValue(Nothing());
}

CommandOutcome ClusterState::applyOne(const SetTargetDraining &command)
{
    TargetRecord *target = this->findTarget(command.target);
    if (target == nullptr)
        return failure(ErrorCode::NotFound,
                       "there is no target " + internal::numberOf(command.target));
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
                       "no target has announced itself from failure domain "
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

void ClusterState::loseAttempts(TargetRecord &target, const std::string &reason)
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
