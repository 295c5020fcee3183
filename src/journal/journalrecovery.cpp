#include "journal/journal.h"

#include "core/codec.h"
#include "core/ids.h"
#include "journal/checksum.h"
#include "journal/frame.h"
#include "journal/journalfiles.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

// Recovery. Everything is read and checked before anything is changed, so that a folder that is
// refused is left as it was found.

namespace guavavalve {

using namespace internal;

/// What recovery has read from the folder so far.
struct Journal::RecoveryScan
{
    RecoveredState state;
    ReplicaIdentity identity;
    std::deque<Segment> segments;
    std::set<std::uint64_t> segmentNumbers;
    std::set<LogIndex> snapshots;
    std::vector<std::string> obsoleteFiles; ///< unfinished files and superseded snapshots
    std::uint64_t nextSequence = 1;
    std::uint64_t tornTailOffset = 0; ///< end of the valid frames; zero: no torn tail
    std::uint64_t snapshotStateOffset = 0;
    LogIndex base = 0; ///< index before that of the first entry in `state`
    bool hasBase = false;
    bool needsLogReset = false;
};

namespace {

/// The error for an intact file that is not of this program, cluster, group, replica or format.
Error foreignFileError(const std::string &name, const std::string &why)
{
    return failure(ErrorCode::Conflict,
                   "the file " + name + " " + why
                       + "; nothing was changed. Give this instance an empty folder, or the "
                         "folder of this cluster and group");
}

Error damagedFileError(const std::string &name, const std::string &why)
{
    return failure(ErrorCode::Corrupt,
                   "the file " + name + " is damaged: " + why
                       + "; nothing was changed. Move the folder away: this instance then rejoins "
                         "as a new replica");
}

bool hasSuffix(const std::string &name, std::string_view suffix)
{
    return name.size() >= suffix.size()
        && name.compare(name.size() - suffix.size(), suffix.size(), suffix) == 0;
}

} // namespace

Result<RecoveredState> Journal::recover()
{
    if (auto locked = this->disk->lock(std::string(lockName)); !locked)
        return locked.error();
    if (this->options.rewritesFiles) {
        if (auto rewritten = this->rewriteFiles(); !rewritten)
            return rewritten.error();
    }
    auto read = this->readFolder();
    if (!read)
        return read.error();
    RecoveryScan scan = std::move(read).value();
    if (auto applied = this->applyScan(scan); !applied)
        return applied.error();
    scan.state.replica = this->identity.replica;
    return std::move(scan.state);
}

Result<void> Journal::rewriteFiles()
{
    const auto names = this->disk->list();
    if (!names)
        return names.error();
    for (const std::string &name : names.value()) {
        if (!parseFileNumber(name, segmentPrefix) && !parseFileNumber(name, snapshotPrefix))
            continue;
        const auto bytes = this->disk->read(name);
        if (!bytes)
            return bytes.error();
        if (auto written = this->writeFileAtomically(name, bytes.value()); !written)
            return written;
    }
    return boost::outcome_v2::success();
}

Result<Journal::RecoveryScan> Journal::readFolder()
{
    RecoveryScan scan;
    auto names = this->disk->list();
    if (!names)
        return names.error();
    for (const std::string &name : names.value()) {
        if (name == lockName)
            continue;
        if (hasSuffix(name, temporarySuffix)
            && (name.rfind(segmentPrefix, 0) == 0 || name.rfind(snapshotPrefix, 0) == 0)) {
            scan.obsoleteFiles.push_back(name);
        } else if (const auto segment = parseFileNumber(name, segmentPrefix)) {
            scan.segmentNumbers.insert(*segment);
        } else if (const auto snapshot = parseFileNumber(name, snapshotPrefix)) {
            scan.snapshots.insert(*snapshot);
        } else {
            return foreignFileError(name, "is not a file of this program");
        }
    }
    if (scan.segmentNumbers.empty() && !scan.snapshots.empty())
        return damagedFileError(snapshotName(*scan.snapshots.begin()), "its segments are missing");
    for (const std::uint64_t number : scan.segmentNumbers) {
        const bool isNewest = number == *scan.segmentNumbers.rbegin();
        if (auto read = this->readSegment(scan, number, isNewest); !read)
            return read.error();
    }
    if (!scan.snapshots.empty()) {
        if (auto read = this->readSnapshotFile(scan); !read)
            return read.error();
    }
    if (auto trimmed = this->trimToSnapshot(scan); !trimmed)
        return trimmed.error();
    return scan;
}

Result<SegmentHeader> Journal::readHeader(const std::string &name, std::string_view bytes) const
{
    if (bytes.substr(0, segmentMagic.size()) != segmentMagic)
        return foreignFileError(name, "was not written by this program");
    if (bytes.substr(0, fileMagicBytes) != fileMagic(segmentMagic))
        return foreignFileError(name, "has a format that this version does not support");
    // The seed is the replica's identity, which is part of the header itself.
    const std::string_view rest = bytes.substr(fileMagicBytes);
    if (rest.size() < Frame::headerBytes)
        return damagedFileError(name, "its header is truncated");
    std::uint32_t length = 0;
    std::copy_n(rest.data() + sizeof(length), sizeof(length), reinterpret_cast<char *>(&length));
    if (length > rest.size() - Frame::headerBytes)
        return damagedFileError(name, "its header is truncated");
    auto header = decode<SegmentHeader>(rest.substr(Frame::headerBytes, length));
    if (!header || !decodeFrame(rest, idValue(header.value().identity.replica)))
        return damagedFileError(name, "its header's checksum does not match");
    const ReplicaIdentity &owner = header.value().identity;
    if (header.value().format != journalFormat)
        return foreignFileError(name, "has a format that this version does not support");
    if (owner.clusterId != this->options.clusterId)
        return foreignFileError(name, "belongs to the cluster \"" + owner.clusterId + "\"");
    if (owner.group != this->options.group)
        return foreignFileError(name, "belongs to group " + std::to_string(idValue(owner.group)));
    return header;
}

Result<void> Journal::readSegment(RecoveryScan &scan, std::uint64_t number, bool isNewest)
{
    const std::string name = segmentName(number);
    auto content = this->disk->read(name);
    if (!content)
        return content.error();
    const std::string_view bytes = content.value();
    auto header = this->readHeader(name, bytes);
    if (!header)
        return header.error();
    const bool isFirst = scan.segments.empty();
    if (isFirst)
        scan.identity = header.value().identity;
    if (header.value().identity.replica != scan.identity.replica)
        return foreignFileError(name, "belongs to a different replica than the segments before it");
    const std::uint64_t expected = isFirst ? header.value().firstSequence : scan.nextSequence;
    const bool follows = isFirst || number == scan.segments.back().number + 1;
    if (header.value().number != number || header.value().firstSequence != expected || !follows)
        return damagedFileError(name, "segments before it are missing");
    scan.nextSequence = expected;
    scan.state.hardState = header.value().hardState;

    const std::uint64_t replicaSeed = idValue(scan.identity.replica);
    std::size_t offset = fileMagicBytes;
    offset += decodeFrame(bytes.substr(offset), replicaSeed)->bytes();
    Segment segment{number, 0, 0};
    while (offset < bytes.size()) {
        const auto frame = decodeFrame(bytes.substr(offset), replicaSeed);
        if (!frame || frame->sequence != scan.nextSequence) {
            // A batch is written only after the one before it was synced. So if there is a later
            // one, this one was acknowledged and has been damaged since, and truncating the segment
            // would lose data that other replicas rely on. Only the last batch can be torn by a
            // crash.
            const auto rest = bytes.substr(offset);
            if (!isNewest || holdsLaterFrame(rest, scan.nextSequence, replicaSeed))
                return damagedFileError(name, "invalid frame at byte " + std::to_string(offset));
            break;
        }
        auto batch = decode<WriteBatch>(frame->payload);
        if (!batch)
            return damagedFileError(name, "invalid batch at byte " + std::to_string(offset));
        if (auto replayed = this->replay(scan, batch.value()); !replayed)
            return damagedFileError(name, replayed.error().message);
        for (const LogEntry &entry : batch.value().entries)
            segment.lastIndex = std::max(segment.lastIndex, entry.index);
        ++scan.nextSequence;
        offset += frame->bytes();
    }
    scan.tornTailOffset = offset < bytes.size() ? offset : 0;
    segment.bytes = offset;
    scan.segments.push_back(segment);
    return boost::outcome_v2::success();
}

Result<void> Journal::replay(RecoveryScan &scan, const WriteBatch &batch) const
{
    auto &entries = scan.state.entries;
    if (batch.hardState)
        scan.state.hardState = *batch.hardState;
    if (batch.resetTo) {
        entries.clear();
        scan.base = *batch.resetTo;
        scan.hasBase = true;
    }
    for (const LogEntry &entry : batch.entries) {
        if (!scan.hasBase && entry.index > 0) {
            scan.base = entry.index - 1; // older segments were deleted
            scan.hasBase = true;
        }
        if (entry.index <= scan.base) {
            // Replaces entries of deleted segments; the snapshot covers them, so they are never
            // read.
            entries.clear();
            scan.base = entry.index - 1;
        }
        if (entry.index > scan.base + entries.size() + 1)
            return failure(ErrorCode::Corrupt, "the log has a gap");
        entries.resize(entry.index - scan.base - 1);
        entries.push_back(entry);
    }
    return boost::outcome_v2::success();
}

Result<void> Journal::readSnapshotFile(RecoveryScan &scan)
{
    const LogIndex index = *scan.snapshots.rbegin();
    const std::string name = snapshotName(index);
    auto content = this->disk->read(name);
    if (!content)
        return content.error();
    const std::string_view bytes = content.value();
    if (bytes.substr(0, fileMagicBytes) != fileMagic(snapshotMagic))
        return foreignFileError(name, "is not a snapshot in a format that this version supports");
    const auto frame = decodeFrame(bytes.substr(fileMagicBytes), idValue(scan.identity.replica));
    auto header = decode<SnapshotHeader>(frame ? frame->payload : std::string_view());
    if (!frame || !header)
        return damagedFileError(name, "its header's checksum does not match");
    const SnapshotMeta &meta = header.value().meta;
    scan.snapshotStateOffset = fileMagicBytes + frame->bytes();
    const std::string_view state = bytes.substr(scan.snapshotStateOffset);
    if (meta.index != index || state.size() != meta.size || checksumOf(state) != meta.checksum)
        return damagedFileError(name, "its index, size or checksum does not match its header");
    scan.state.snapshot = meta;
    scan.state.snapshotState = std::string(state);
    for (const LogIndex older : scan.snapshots) {
        if (older != index)
            scan.obsoleteFiles.push_back(snapshotName(older));
    }
    return boost::outcome_v2::success();
}

/// Keeps only the entries that follow the snapshot.
Result<void> Journal::trimToSnapshot(RecoveryScan &scan) const
{
    auto &entries = scan.state.entries;
    const LogIndex snapshot = scan.state.snapshot ? scan.state.snapshot->index : 0;
    if (scan.base > snapshot) {
        return damagedFileError(segmentName(*scan.segmentNumbers.begin()),
                                "the snapshot before entry " + std::to_string(scan.base + 1)
                                    + " is missing");
    }
    if (snapshot == 0)
        return boost::outcome_v2::success();
    const LogIndex last = scan.base + entries.size();
    const bool isInside = snapshot > scan.base && snapshot <= last;
    const bool matchesLog =
        isInside && entries[snapshot - scan.base - 1].term == scan.state.snapshot->term;
    if (matchesLog) {
        entries.erase(entries.begin(),
                      entries.begin() + static_cast<std::ptrdiff_t>(snapshot - scan.base));
    } else if (snapshot != scan.base) {
        // The process crashed after it saved a leader's snapshot and before it wrote the batch that
        // resets the log.
        entries.clear();
        scan.needsLogReset = true;
    }
    return boost::outcome_v2::success();
}

/// Makes durable what was read: a process that was killed may have left a batch, or the new name of
/// a file, that only the system's memory holds. The replica is about to acknowledge and to vote by
/// it, and files that it supersedes are removed.
Result<void> Journal::syncScanned(const RecoveryScan &scan)
{
    if (scan.segments.empty())
        return boost::outcome_v2::success();
    // Each older segment was synced before the next one was begun.
    const std::string name = segmentName(scan.segments.back().number);
    if (scan.tornTailOffset != 0) {
        if (auto cut = this->disk->truncate(name, scan.tornTailOffset); !cut)
            return cut;
    }
    if (auto synced = this->disk->sync(name); !synced)
        return synced;
    return this->disk->syncFolder();
}

/// Brings the folder, and this object, into the state that recover() returns.
Result<void> Journal::applyScan(const RecoveryScan &scan)
{
    if (auto synced = this->syncScanned(scan); !synced)
        return synced;
    for (const std::string &name : scan.obsoleteFiles) {
        if (auto removed = this->disk->remove(name); !removed)
            return removed;
    }
    this->identity = scan.identity;
    this->hardState = scan.state.hardState;
    this->segments = scan.segments;
    this->nextSequence = scan.nextSequence;
    this->snapshotIndex = scan.state.snapshot ? scan.state.snapshot->index : 0;
    this->snapshotStateOffset = scan.snapshotStateOffset;
    if (this->segments.empty()) {
        this->identity.clusterId = this->options.clusterId;
        this->identity.group = this->options.group;
        this->identity.replica = this->options.identityIfEmpty;
        while (this->identity.replica == ReplicaId::None)
            this->identity.replica = static_cast<ReplicaId>(this->options.random());
        return this->beginSegment();
    }
    if (scan.needsLogReset) {
        WriteBatch reset;
        reset.resetTo = this->snapshotIndex;
        return this->write(reset);
    }
    return boost::outcome_v2::success();
}

} // namespace guavavalve
