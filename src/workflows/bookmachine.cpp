#include "workflows/bookmachine.h"

#include "core/codec.h"

namespace guavavalve::workflows {

std::string BookMachine::apply(LogIndex, const std::string &command)
{
    const auto batch = decode<CommandBatch>(command);
    if (!batch)
        return encode(CommandOutcomes()); // every replica holds the same bytes and rejects them
    const std::lock_guard lock(this->mutex);
    return encode(this->book.apply(batch.value()));
}

std::string BookMachine::takeSnapshot()
{
    const std::lock_guard lock(this->mutex);
    return this->book.snapshot();
}

Result<void> BookMachine::restoreSnapshot(const std::string &snapshot)
{
    const std::lock_guard lock(this->mutex);
    return this->book.restore(snapshot);
}

} // namespace guavavalve::workflows
