#pragma once

#include "core/error.h"
#include "journal/writebatch.h"
#include "replicas/installedsnapshot.h"
#include "replicas/outgoingmessage.h"

#include <optional>
#include <vector>

namespace guavavalve {

/// The work that RaftCore requests, in the order of the members: send, store, send.
struct RaftOutput
{
    /// May be sent in parallel with the write: the leader counts its own copy of an entry only
    /// after it has been synced.
    std::vector<OutgoingMessage> beforeSync;
    std::optional<InstalledSnapshot> snapshot; ///< to be saved before the batch is written
    WriteBatch batch;
    /// Votes and acknowledgements, which may be sent only after the data they promise has been
    /// synced.
    std::vector<OutgoingMessage> afterSync;
    /// A violated invariant: none of the above may be carried out, and the process must stop.
    std::optional<Error> fault;

    bool isEmpty() const
    {
        return this->beforeSync.empty() && !this->snapshot && this->batch.isEmpty()
            && this->afterSync.empty() && !this->fault;
    }
};

} // namespace guavavalve
