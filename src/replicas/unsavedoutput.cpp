#include "replicas/unsavedoutput.h"

#include "journal/storage.h"
#include "replicas/raftlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavavalve {

void UnsavedOutput::add(RaftOutput output, const Hooks &hooks)
{
    if (this->holdsHardState()) {
        // No message may be sent on the basis of a term or a vote that is not stored.
        output.afterSync.insert(output.afterSync.begin(),
                                std::make_move_iterator(output.beforeSync.begin()),
                                std::make_move_iterator(output.beforeSync.end()));
        output.beforeSync.clear();
    }
    hooks.send(output.beforeSync);
    output.beforeSync.clear();
    this->heldBytes += bytesOf(output);
    this->queue.push_back(std::move(output));
}

Result<void> UnsavedOutput::store(Storage &storage, const Hooks &hooks)
{
    while (!this->queue.empty()) {
        RaftOutput &output = this->queue.front();
        if (output.snapshot) {
            if (auto saved = storage.saveSnapshot(output.snapshot->meta, output.snapshot->state);
                !saved)
                return saved;
        }
        // If the disk refuses the batch, the retry saves the snapshot again, which is harmless.
        if (auto written = storage.write(output.batch); !written)
            return written;
        RaftOutput done = std::move(output);
        this->queue.pop_front();
        this->heldBytes -= bytesOf(done);
        if (done.snapshot) {
            if (auto installed = hooks.onSnapshotSaved(std::move(*done.snapshot)); !installed)
                return installed;
        }
        hooks.send(done.afterSync);
    }
    return boost::outcome_v2::success();
}

bool UnsavedOutput::holdsSnapshot() const
{
    return std::any_of(this->queue.begin(), this->queue.end(),
                       [](const RaftOutput &output) { return output.snapshot.has_value(); });
}

bool UnsavedOutput::holdsHardState() const
{
    return std::any_of(this->queue.begin(), this->queue.end(),
                       [](const RaftOutput &output) { return output.batch.hardState.has_value(); });
}

std::size_t UnsavedOutput::bytesOf(const RaftOutput &output)
{
    std::size_t bytes = output.snapshot ? output.snapshot->state.size() : 0;
    for (const LogEntry &entry : output.batch.entries)
        bytes += entryBytes(entry);
    return bytes;
}

} // namespace guavavalve
