#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// An entry's heartbeat to the controller, with the configuration version that it holds.
struct SyncRequest
{
    InstanceId entry;
    std::string address; ///< "ip:port" of its messenger
    /// Has a data folder, so it can host a replica in place of a lost one.
    bool holdsReplica = false;
    std::uint64_t heldVersion = 0; ///< the document's version that the entry holds
    std::int64_t waitMs = 0; ///< how long a reply without changes may be held back

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->address, this->holdsReplica, this->heldVersion, this->waitMs);
    }
};

/// The changes since SyncRequest::heldVersion, and a new lease on the configuration.
struct SyncReply
{
    std::int64_t leaseMs = 0; ///< counted by the entry from the time it sent the request
    std::string changes; ///< see encodeChanges()

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->leaseMs, this->changes);
    }
};

} // namespace guavavalve
