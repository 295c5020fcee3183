#pragma once

#include "core/done.h"
#include "state/commandbatch.h"
#include "state/commandoutcome.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavavalve {

class ReplicatedLog;

/// Gathers the commands of a round into as few log entries as their size allows, and hands each
/// its own outcome. Used by the controller's loop alone; outcomes come back through \a post.
class CommandPipeline
{
public:
    using Post = std::function<void(std::function<void()>)>;

    CommandPipeline(ReplicatedLog &log, std::uint8_t shard, Post post);

    /// Adds \a command to the round. \a done runs on the loop, in the order of the log.
    void add(Command command, Done<CommandValue> done);

    /// Proposes what the round has gathered.
    void flush();

    bool empty() const { return this->batch.commands.empty(); }

private:
    static constexpr std::size_t maxCommandsPerEntry = 256;
    static constexpr std::size_t maxBytesPerEntry = std::size_t{1} << 20;

    using Handlers = std::vector<Done<CommandValue>>;

    static void deliver(const Handlers &handlers, const Result<std::string> &outcomes);

    ReplicatedLog &log;
    std::uint8_t shard;
    Post post;
    CommandBatch batch;
    Handlers handlers;
    std::size_t batchBytes = 0;
};

} // namespace guavavalve
