#include "workflows/store/workflowstoremachine.h"

#include "core/codec.h"

#include <utility>

namespace guavavalve::workflows {

WorkflowStoreMachine::WorkflowStoreMachine(Clock clock)
    : clock(std::move(clock))
    , placements(this->clock())
    , registrations(this->clock())
    , cancels(this->clock())
    , domainChanges(this->clock())
{}

std::string WorkflowStoreMachine::apply(LogIndex, const std::string &command)
{
    const auto batch = decode<CommandBatch>(command);
    if (!batch)
        return encode(CommandOutcomes()); // every replica reads the same bytes and rejects them
    const Instant now = this->clock();
    {
        const std::lock_guard lock(this->recentMutex);
        for (const Command &one : batch.value()) {
            if (const auto *placed = std::get_if<PlaceRuns>(&one))
                this->placements.record({placed->step, placed->run}, now);
            else if (const auto *registered = std::get_if<RegisterIncarnation>(&one))
                this->registrations.record(registered->identity.name, now);
            else if (const auto *cancelled = std::get_if<CancelUnknown>(&one))
                this->cancels.record({cancelled->account, cancelled->id}, now);
            else if (const auto *changed = std::get_if<EvacuateDomain>(&one))
                this->domainChanges.record(changed->failureDomain, now);
        }
    }
    const std::lock_guard lock(this->mutex);
    return encode(this->store.apply(batch.value()));
}

std::string WorkflowStoreMachine::takeSnapshot()
{
    const std::lock_guard lock(this->mutex);
    return this->store.snapshot();
}

Result<void> WorkflowStoreMachine::restoreSnapshot(const std::string &snapshot)
{
    {
        const std::lock_guard lock(this->recentMutex);
        this->placements.forgetAll(this->clock());
        this->registrations.forgetAll(this->clock());
        this->cancels.forgetAll(this->clock());
        this->domainChanges.forgetAll(this->clock());
    }
    const std::lock_guard lock(this->mutex);
    return this->store.restore(snapshot);
}

Instant WorkflowStoreMachine::placedAt(const StepAddress &step, RunNumber run) const
{
    const std::lock_guard lock(this->recentMutex);
    return this->placements.latest({step, run});
}

Instant WorkflowStoreMachine::cancelledAt(const UnknownCancels::Key &key) const
{
    const std::lock_guard lock(this->recentMutex);
    return this->cancels.latest(key);
}

Instant WorkflowStoreMachine::domainChangedAt(const std::string &failureDomain) const
{
    const std::lock_guard lock(this->recentMutex);
    return this->domainChanges.latest(failureDomain);
}

Instant WorkflowStoreMachine::registeredAt(const std::string &target) const
{
    const std::lock_guard lock(this->recentMutex);
    return this->registrations.latest(target);
}

} // namespace guavavalve::workflows
