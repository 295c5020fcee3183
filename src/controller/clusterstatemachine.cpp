#include "controller/clusterstatemachine.h"

#include "state/commandbatch.h"
#include "state/commandoutcome.h"

namespace guavavalve {

std::string ClusterStateMachine::apply(LogIndex index, const std::string &command)
{
    const auto batch = decodeBatch(command);
    const std::lock_guard<std::mutex> guard(this->lock);
    this->applied = index;
    if (batch.has_error())
        return encodeOutcomes({CommandOutcome(batch.error())});
    return encodeOutcomes(this->state.apply(batch.value()));
}

std::string ClusterStateMachine::takeSnapshot()
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->state.snapshot();
}

Result<void> ClusterStateMachine::restoreSnapshot(const std::string &snapshot)
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->state.restore(snapshot);
}

LogIndex ClusterStateMachine::appliedIndex() const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    return this->applied;
}

void ClusterStateMachine::read(const std::function<void(const ClusterState &)> &reader) const
{
    const std::lock_guard<std::mutex> guard(this->lock);
    reader(this->state);
}

} // namespace guavavalve
