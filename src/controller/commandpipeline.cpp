#include "controller/commandpipeline.h"

#include "replicas/replicatedlog.h"

#include <memory>
#include <utility>

namespace guavavalve {

namespace {

/// Bytes that a command adds to a log entry beyond its fields of bounded size.
std::size_t variableBytes(const Command &command)
{
    if (const auto *job = std::get_if<AcceptJob>(&command))
        return job->payload.size();
    if (const auto *section = std::get_if<WriteSection>(&command))
        return section->content.size();
    return 0;
}

} // namespace

CommandPipeline::CommandPipeline(ReplicatedLog &log, std::uint8_t shard, Post post)
    : log(log)
    , shard(shard)
    , post(std::move(post))
{
    this->batch.shard = shard;
}

void CommandPipeline::add(Command command, Done<CommandValue> done)
{
    const std::size_t bytes = variableBytes(command);
    if (this->batch.commands.size() >= maxCommandsPerEntry
        || (!this->empty() && this->batchBytes + bytes > maxBytesPerEntry)) {
        this->flush();
    }
    this->batchBytes += bytes;
    this->batch.commands.push_back(std::move(command));
    this->handlers.push_back(std::move(done));
}

void CommandPipeline::flush()
{
    if (this->empty())
        return;
    Result<std::string> bytes = encodeBatch(this->batch);
    auto waiting = std::make_shared<Handlers>(std::move(this->handlers));
    this->batch.commands.clear();
    this->handlers.clear();
    this->batchBytes = 0;
    if (!bytes) {
        deliver(*waiting, bytes.error());
        return;
    }
    this->log.propose(
        std::move(bytes).value(), [post = this->post, waiting](Result<std::string> outcomes) {
            post([waiting, outcomes = std::move(outcomes)] { deliver(*waiting, outcomes); });
        });
}

void CommandPipeline::deliver(const Handlers &handlers, const Result<std::string> &outcomes)
{
    if (!outcomes) {
        for (const auto &handler : handlers)
            handler(outcomes.error());
        return;
    }
    const auto decoded = decodeOutcomes(outcomes.value());
    for (std::size_t i = 0; i < handlers.size(); ++i) {
        if (!decoded)
            handlers[i](decoded.error());
        else if (i < decoded.value().size())
            handlers[i](decoded.value()[i]);
        else
            handlers[i](
                failure(ErrorCode::Internal, "the log returned fewer outcomes than commands"));
    }
}

} // namespace guavavalve
