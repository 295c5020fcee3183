#include "controller/clusterstatemachine.h"

#include "state/commandbatch.h"
#include "state/commandoutcome.h"

#include <mutex>
#include <utility>

namespace guavavalve {

ClusterStateMachine::ClusterStateMachine(std::uint8_t shard)
    : state(shard)
{}

std::string ClusterStateMachine::apply(LogIndex, const std::string &command)
{
    const Result<CommandBatch> batch = decodeBatch(command);
    if (!batch) {
        // Every replica reads the same bytes, so all of them reject the command in the same way.
        return encodeOutcomes({CommandOutcome(batch.error())});
    }
    const std::unique_lock lock(this->mutex);
    return encodeOutcomes(this->state.apply(batch.value()));
}

std::string ClusterStateMachine::takeSnapshot()
{
    const std::shared_lock lock(this->mutex);
    return this->state.snapshot();
}

Result<void> ClusterStateMachine::restoreSnapshot(const std::string &snapshot)
{
    const std::unique_lock lock(this->mutex);
    return this->state.restore(snapshot);
}

} // namespace guavavalve
