#pragma once

#include "replicas/statemachine.h"
#include "state/clusterstate.h"

#include <functional>
#include <shared_mutex>
#include <string>

namespace guavavalve {

/// Applies the commands of the replicated log to the ClusterState and allows concurrent reads.
class ClusterStateMachine : public StateMachine
{
public:
    explicit ClusterStateMachine(std::uint8_t shard = 0);

    /// Returns the encoded outcomes. \sa encodeOutcomes
    std::string apply(LogIndex index, const std::string &command) override;
    std::string takeSnapshot() override;
    Result<void> restoreSnapshot(const std::string &snapshot) override;

    /// Calls \a reader under a shared lock on the state. The reader must not block.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::shared_lock lock(this->mutex);
        return reader(static_cast<const ClusterState &>(this->state));
    }

private:
    mutable std::shared_mutex mutex;
    ClusterState state;
};

} // namespace guavavalve
