#pragma once

#include "journal/hardstate.h"
#include "journal/logentry.h"
#include "journal/replicaidentity.h"
#include "journal/snapshotmeta.h"

#include <optional>
#include <string>
#include <vector>

namespace guavavalve {

/// State that a replica recovers from its storage when it starts.
struct RecoveredState
{
    ReplicaId replica = ReplicaId::None;
    HardState hardState;
    std::optional<SnapshotMeta> snapshot;
    std::string snapshotState; ///< the state's bytes in the newest snapshot
    std::vector<LogEntry> entries; ///< the log entries after the snapshot
};

} // namespace guavavalve
