#include "journal/journal.h"

#include "core/codec.h"
#include "core/ids.h"
#include "journal/frame.h"
#include "journal/journalfiles.h"
#include "journal/posixdisk.h"

#include <algorithm>
#include <utility>

// Writing; journalrecovery.cpp reads back.

namespace guavavalve {

using namespace internal;

Journal::Journal(std::unique_ptr<Disk> folder, JournalOptions settings)
    : disk(std::move(folder))
    , options(std::move(settings))
{}

Journal::~Journal() = default;

/// Frames of another replica do not check: bytes copied between folders are not taken for ours.
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
        return failure(ErrorCode::LimitExceeded, "the batch is larger than a frame may be");
    const std::string bytes = encodeFrame(this->nextSequence, payload, this->seed());
    if (auto appended = this->disk->append(name, bytes); !appended)
        return appended;
    ++this->nextSequence;
    // Only now: a later segment's header must not be ahead of its batches. A crash between them
    // would leave a replica that counts as formed and has no first entry.
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
    const std::string bytes = fileMark(segmentMark) + encodeFrame(0, encode(header), this->seed());
    if (auto put = this->putBeside(segmentName(header.number), bytes); !put)
        return put;
    this->segments.push_back({header.number, bytes.size(), 0});
    return boost::outcome_v2::success();
}

/// Guards against a crash in the middle: under its own name a file is always whole, since the
/// bytes are synced before the name is given and the name before anyone relies on it.
Result<void> Journal::putBeside(const std::string &name, const std::string &head,
                                const std::string &rest)
{
    const std::string beside = name + std::string(besideSuffix);
    // What a refused try has left: the bytes would stand in the file twice.
    if (auto removed = this->disk->remove(beside); !removed)
        return removed;
    if (auto appended = this->disk->append(beside, head); !appended)
        return appended;
    if (!rest.empty()) { // apart, since joining them would copy a snapshot
        if (auto appended = this->disk->append(beside, rest); !appended)
            return appended;
    }
    if (auto synced = this->disk->sync(beside); !synced)
        return synced;
    if (auto renamed = this->disk->rename(beside, name); !renamed)
        return renamed;
    return this->disk->syncFolder();
}

Result<void> Journal::saveSnapshot(const SnapshotMeta &meta, const std::string &state)
{
    const std::lock_guard saving(this->saveMutex);
    if (meta.index <= this->snapshotIndex)
        return boost::outcome_v2::success();
    const std::string head = fileMark(snapshotMark)
        + encodeFrame(meta.index, encode(SnapshotHeader{journalFormat, this->identity, meta}),
                      this->seed());
    if (auto put = this->putBeside(snapshotName(meta.index), head, state); !put)
        return put;
    const std::lock_guard reading(this->snapshotMutex);
    const LogIndex older = std::exchange(this->snapshotIndex, meta.index);
    this->snapshotStateAt = head.size();
    if (older != 0)
        return this->disk->remove(snapshotName(older));
    return boost::outcome_v2::success();
}

Result<std::string> Journal::readSnapshot(LogIndex index, std::uint64_t offset, std::size_t length)
{
    const std::lock_guard lock(this->snapshotMutex);
    if (index != this->snapshotIndex)
        return failure(ErrorCode::NotFound, "a newer snapshot has replaced this one");
    return this->disk->readPart(snapshotName(index), this->snapshotStateAt + offset, length);
}

Result<void> Journal::release(LogIndex through)
{
    // Oldest first, so that what is left is always a run without gaps, also after a crash.
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
