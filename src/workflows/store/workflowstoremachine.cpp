#include "workflows/store/workflowstoremachine.h"

#include "core/codec.h"

namespace guavavalve::workflows {

std::string WorkflowStoreMachine::apply(LogIndex, const std::string &command)
{
    const auto batch = decode<CommandBatch>(command);
    if (!batch)
        return encode(CommandOutcomes()); // every replica reads the same bytes and rejects them
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
    const std::lock_guard lock(this->mutex);
    return this->store.restore(snapshot);
}

} // namespace guavavalve::workflows
