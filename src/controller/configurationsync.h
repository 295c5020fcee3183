#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// An entry's heartbeat to the controller: who it is and what configuration it holds.
struct SyncRequest
{
    InstanceId entry;
    std::string address; ///< "ip:port" of its messenger
    bool holdsReplica = false; ///< has a data folder, so may take a lost replica's place
    std::uint64_t heldVersion = 0; ///< of the document
    std::int64_t waitMs = 0; ///< how long the reply may be held back when nothing differs

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->entry, this->address, this->holdsReplica, this->heldVersion, this->waitMs);
    }
};

/// What differs, and a new lease on the configuration.
struct SyncReply
{
    std::int64_t leaseMs = 0; ///< counted by the entry from when it sent the request
    std::string changes; ///< see encodeChanges()

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->leaseMs, this->changes);
    }
};

} // namespace guavavalve
