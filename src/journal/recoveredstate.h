#pragma once

#include "journal/hardstate.h"
#include "journal/logentry.h"
#include "journal/replicaidentity.h"
#include "journal/snapshotmeta.h"

#include <optional>
#include <string>
#include <vector>

namespace guavavalve {

/// What a replica finds when it starts.
struct RecoveredState
{
    ReplicaId replica = ReplicaId::None;
    HardState hardState;
    std::optional<SnapshotMeta> snapshot;
    std::string snapshotState; ///< the newest snapshot's bytes
    std::vector<LogEntry> entries; ///< those after the snapshot
};

} // namespace guavavalve
