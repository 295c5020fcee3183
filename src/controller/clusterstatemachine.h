#pragma once

#include "replicas/statemachine.h"
#include "state/clusterstate.h"

#include <functional>
#include <mutex>
#include <string>

namespace guavavalve {

/// The cluster's state as the replicated log drives it. Readers of other threads come in through
/// read(); the log's own thread applies.
class ClusterStateMachine : public StateMachine
{
public:
    /// The state of replica group \a shard, empty.
    explicit ClusterStateMachine(std::uint8_t shard = 0) : state(shard) {}

    /// The outcomes of a CommandBatch, for decodeOutcomes(). Bytes that are no batch change
    /// nothing, on every replica alike, and give a single Corrupt.
    std::string apply(LogIndex index, const std::string &command) override;

    std::string takeSnapshot() override;
    Result<void> restoreSnapshot(const std::string &snapshot) override;

    /// Index of the last entry applied since the process started.
    LogIndex appliedIndex() const;

    /// Runs \a reader on the state, which stands still meanwhile. It must be short, and must not
    /// call back into this object.
    void read(const std::function<void(const ClusterState &)> &reader) const;

private:
    mutable std::mutex lock;
    ClusterState state;
    LogIndex applied = 0;
};

} // namespace guavavalve
