#pragma once

#include "replicas/raftmessage.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve {

/// A message that RaftCore asks its caller to send.
struct OutgoingMessage
{
    RaftMessage message;
    std::string address; ///< destination of a request
    std::uint64_t replyTo = 0; ///< of a reply: the token of its request; zero: a request
    std::size_t chunkBytes = 0; ///< of a SnapshotRequest: bytes to read into its chunk
};

} // namespace guavavalve
