#pragma once

#include "core/error.h"
#include "journal/writebatch.h"
#include "replicas/installedsnapshot.h"
#include "replicas/outgoingmessage.h"

#include <optional>
#include <vector>

namespace guavavalve {

/// What RaftCore wants done, in the order of the members: send, store, send.
struct RaftOutput
{
    /// May go out beside the write: a leader's entries count here only once they are synced.
    std::vector<OutgoingMessage> beforeSync;
    std::optional<InstalledSnapshot> snapshot; ///< to be saved before the batch
    WriteBatch batch;
    /// Votes and acknowledgements: promises that must be synced before they are given.
    std::vector<OutgoingMessage> afterSync;
    /// A broken invariant: nothing above may be done, the process must stop.
    std::optional<Error> fault;

    bool isEmpty() const
    {
        return this->beforeSync.empty() && !this->snapshot && this->batch.isEmpty()
            && this->afterSync.empty() && !this->fault;
    }
};

} // namespace guavavalve
