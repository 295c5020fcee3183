#pragma once

#include "core/done.h"
#include "state/commandbatch.h"
#include "state/commandoutcome.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace guavavalve {

class ReplicatedLog;

/// Batches the commands of one event loop round into as few log entries as the size limits allow,
/// and passes each command its own outcome. Used on the controller's loop only; outcomes are
/// delivered through the Post function.
class CommandPipeline
{
public:
    using Post = std::function<void(std::function<void()>)>;

    CommandPipeline(ReplicatedLog &log, std::uint8_t shard, Post post);

    /// Adds \a command to the current batch. \a done runs on the loop, in log order.
    void add(Command command, Done<CommandValue> done);

    /// Proposes the current batch to the log.
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
