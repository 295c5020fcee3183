#pragma once

#include "replicas/raftmessage.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve {

/// A message that RaftCore wants sent.
struct OutgoingMessage
{
    RaftMessage message;
    std::string address; ///< of a request
    std::uint64_t replyTo = 0; ///< of a reply: the token that came with the request
    std::size_t chunkBytes = 0; ///< of a SnapshotRequest: how much to read into it
};

} // namespace guavavalve
