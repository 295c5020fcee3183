#include "journal/journal.h"

#include "core/codec.h"
#include "core/ids.h"
#include "journal/frame.h"
#include "journal/journalfiles.h"
#include "journal/posixdisk.h"

#include <algorithm>
#include <utility>

// The write path; recovery is in journalrecovery.cpp.

namespace guavavalve {

using namespace internal;

Journal::Journal(std::unique_ptr<Disk> folder, JournalOptions settings)
    : disk(std::move(folder))
    , options(std::move(settings))
{}

Journal::~Journal() = default;

/// Seed of the checksums. It is specific to the replica, so frames that were copied from another
/// replica's folder fail their check.
std::uint64_t Journal::seed() const
{
    return idValue(this->identity.replica);
}

Result<void> Journal::write(const WriteBatch &batch)
{
    if (batch.isEmpty())
        return boost::outcome_v2::success();
    if (this->segments.back().bytes >= this->options.segmentBytes) {
        if (auto begun = this->beginSegment(); !begun)
            return begun;
    }
    Segment &segment = this->segments.back();
    const std::string name = segmentName(segment.number);
    const std::string payload = encode(batch);
    if (payload.size() > Frame::maxPayloadBytes)
        return failure(ErrorCode::LimitExceeded, "the batch exceeds the maximum size of a frame");
    const std::string bytes = encodeFrame(this->nextSequence, payload, this->seed());
    if (auto appended = this->disk->append(name, bytes); !appended)
        return appended;
    ++this->nextSequence;
    // Set only after the append, so that the header of a later segment never holds a state that no
    // batch has stored: a crash between the two would leave a replica that counts as formed but
    // lacks the first entry.
    if (batch.hardState)
        this->hardState = *batch.hardState;
    segment.bytes += bytes.size();
    for (const LogEntry &entry : batch.entries)
        segment.lastIndex = std::max(segment.lastIndex, entry.index);
    return this->disk->sync(name);
}

Result<void> Journal::beginSegment()
{
    SegmentHeader header;
    header.format = journalFormat;
    header.identity = this->identity;
    header.number = this->segments.empty() ? 1 : this->segments.back().number + 1;
    header.firstSequence = this->nextSequence;
    header.hardState = this->hardState;
    const std::string bytes =
        fileMagic(segmentMagic) + encodeFrame(0, encode(header), this->seed());
    if (auto put = this->writeFileAtomically(segmentName(header.number), bytes); !put)
        return put;
    this->segments.push_back({header.number, bytes.size(), 0});
    return boost::outcome_v2::success();
}

/// Writes to a temporary file and renames it, so that a file under its final name is complete even
/// after a crash: the bytes are synced before the rename, and the name before the file is used.
Result<void> Journal::writeFileAtomically(const std::string &name, const std::string &head,
                                          const std::string &rest)
{
    const std::string temporary = name + std::string(temporarySuffix);
    // Bytes left by a refused attempt would otherwise be in the file twice.
    if (auto removed = this->disk->remove(temporary); !removed)
        return removed;
    if (auto appended = this->disk->append(temporary, head); !appended)
        return appended;
    if (!rest.empty()) { // separately, since concatenating them would copy the snapshot
        if (auto appended = this->disk->append(temporary, rest); !appended)
            return appended;
    }
    if (auto synced = this->disk->sync(temporary); !synced)
        return synced;
    if (auto renamed = this->disk->rename(temporary, name); !renamed)
        return renamed;
    return this->disk->syncFolder();
}

Result<void> Journal::saveSnapshot(const SnapshotMeta &meta, const std::string &state)
{
    const std::lock_guard saving(this->saveMutex);
    if (meta.index <= this->snapshotIndex)
        return boost::outcome_v2::success();
    const std::string head = fileMagic(snapshotMagic)
        + encodeFrame(meta.index, encode(SnapshotHeader{journalFormat, this->identity, meta}),
                      this->seed());
    if (auto put = this->writeFileAtomically(snapshotName(meta.index), head, state); !put)
        return put;
    const std::lock_guard reading(this->snapshotMutex);
    const LogIndex older = std::exchange(this->snapshotIndex, meta.index);
    this->snapshotStateOffset = head.size();
    if (older != 0)
        return this->disk->remove(snapshotName(older));
    return boost::outcome_v2::success();
}

Result<std::string> Journal::readSnapshot(LogIndex index, std::uint64_t offset, std::size_t length)
{
    const std::lock_guard lock(this->snapshotMutex);
    if (index != this->snapshotIndex)
        return failure(ErrorCode::NotFound, "a newer snapshot has replaced this one");
    return this->disk->readRange(snapshotName(index), this->snapshotStateOffset + offset, length);
}

Result<void> Journal::release(LogIndex through)
{
    // Oldest first, so that the remaining segments have no gap, not even after a crash.
    while (this->segments.size() > 1 && this->segments.front().lastIndex <= through) {
        if (auto removed = this->disk->remove(segmentName(this->segments.front().number));
            !removed) {
            return removed;
        }
        if (auto synced = this->disk->syncFolder(); !synced)
            return synced;
        this->segments.pop_front();
    }
    return boost::outcome_v2::success();
}

Result<std::unique_ptr<Journal>> openJournal(const std::string &dataFolder, JournalOptions options)
{
    const auto group = std::to_string(idValue(options.group));
    auto disk = std::make_unique<PosixDisk>(dataFolder + "/group-" + group);
    if (auto created = disk->createFolder(); !created)
        return created.error();
    return std::make_unique<Journal>(std::move(disk), std::move(options));
}

} // namespace guavavalve
