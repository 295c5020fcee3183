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

// Reading back. Everything is read and checked first; only then is anything changed, so that a
// folder that is refused is left as it was found.

namespace guavavalve {

using namespace internal;

/// What recover() has read so far.
struct Journal::Found
{
    RecoveredState state;
    ReplicaIdentity identity;
    std::deque<Segment> segments;
    std::set<std::uint64_t> segmentNumbers;
    std::set<LogIndex> snapshots;
    std::vector<std::string> leftovers; ///< files that were never finished, older snapshots
    std::uint64_t nextSequence = 1;
    std::uint64_t tornAt = 0; ///< where the newest segment ends
    std::uint64_t snapshotStateAt = 0;
    LogIndex base = 0; ///< entries follow this index
    bool hasBase = false;
    bool dropsEntries = false;
};

namespace {

Error foreign(const std::string &name, const std::string &why)
{
    return failure(ErrorCode::Conflict,
                   "the file " + name + " " + why
                       + "; nothing was changed. Give this instance an empty folder, or the "
                         "folder of this cluster and group");
}

Error damaged(const std::string &name, const std::string &why)
{
    return failure(ErrorCode::Corrupt,
                   "the file " + name + " is damaged: " + why
                       + "; nothing was changed. Move the folder away: this instance then joins "
                         "again as a new replica");
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
    auto read = this->readFolder();
    if (!read)
        return read.error();
    Found found = std::move(read).value();
    if (auto tidied = this->tidy(found); !tidied)
        return tidied.error();
    found.state.replica = this->identity.replica;
    return std::move(found.state);
}

Result<Journal::Found> Journal::readFolder()
{
    Found found;
    auto names = this->disk->list();
    if (!names)
        return names.error();
    for (const std::string &name : names.value()) {
        if (name == lockName)
            continue;
        if (hasSuffix(name, besideSuffix)
            && (name.rfind(segmentPrefix, 0) == 0 || name.rfind(snapshotPrefix, 0) == 0)) {
            found.leftovers.push_back(name);
        } else if (const auto segment = numberIn(name, segmentPrefix)) {
            found.segmentNumbers.insert(*segment);
        } else if (const auto snapshot = numberIn(name, snapshotPrefix)) {
            found.snapshots.insert(*snapshot);
        } else {
            return foreign(name, "is not one of this program's");
        }
    }
    if (found.segmentNumbers.empty() && !found.snapshots.empty())
        return damaged(snapshotName(*found.snapshots.begin()), "its segments are missing");
    for (const std::uint64_t number : found.segmentNumbers) {
        const bool isNewest = number == *found.segmentNumbers.rbegin();
        if (auto read = this->readSegment(found, number, isNewest); !read)
            return read.error();
    }
    if (!found.snapshots.empty()) {
        if (auto read = this->readSnapshotFile(found); !read)
            return read.error();
    }
    if (auto joined = this->joinSnapshot(found); !joined)
        return joined.error();
    return found;
}

Result<SegmentHeader> Journal::readHeader(const std::string &name, std::string_view bytes) const
{
    if (bytes.substr(0, segmentMark.size()) != segmentMark)
        return foreign(name, "was not written by this program");
    if (bytes.substr(0, fileMarkBytes) != fileMark(segmentMark))
        return foreign(name, "has a format that this version does not know");
    // The seed is the replica's identity, which the header itself tells.
    const std::string_view rest = bytes.substr(fileMarkBytes);
    if (rest.size() < Frame::headerBytes)
        return damaged(name, "its header is cut off");
    std::uint32_t length = 0;
    std::copy_n(rest.data() + sizeof(length), sizeof(length), reinterpret_cast<char *>(&length));
    if (length > rest.size() - Frame::headerBytes)
        return damaged(name, "its header is cut off");
    auto header = decode<SegmentHeader>(rest.substr(Frame::headerBytes, length));
    if (!header || !decodeFrame(rest, idValue(header.value().identity.replica)))
        return damaged(name, "its header's checksum is wrong");
    const ReplicaIdentity &owner = header.value().identity;
    if (header.value().format != journalFormat)
        return foreign(name, "has a format that this version does not know");
    if (owner.clusterId != this->options.clusterId)
        return foreign(name, "belongs to the cluster \"" + owner.clusterId + "\"");
    if (owner.group != this->options.group)
        return foreign(name, "belongs to group " + std::to_string(idValue(owner.group)));
    return header;
}

Result<void> Journal::readSegment(Found &found, std::uint64_t number, bool isNewest)
{
    const std::string name = segmentName(number);
    auto content = this->disk->read(name);
    if (!content)
        return content.error();
    const std::string_view bytes = content.value();
    auto header = this->readHeader(name, bytes);
    if (!header)
        return header.error();
    const bool isFirst = found.segments.empty();
    if (isFirst)
        found.identity = header.value().identity;
    if (header.value().identity.replica != found.identity.replica)
        return foreign(name, "belongs to another replica than the segments before it");
    const std::uint64_t expected = isFirst ? header.value().firstSequence : found.nextSequence;
    const bool follows = isFirst || number == found.segments.back().number + 1;
    if (header.value().number != number || header.value().firstSequence != expected || !follows)
        return damaged(name, "segments before it are missing");
    found.nextSequence = expected;
    found.state.hardState = header.value().hardState;

    const std::uint64_t replicaSeed = idValue(found.identity.replica);
    std::size_t offset = fileMarkBytes;
    offset += decodeFrame(bytes.substr(offset), replicaSeed)->bytes();
    Segment segment{number, 0, 0};
    while (offset < bytes.size()) {
        const auto frame = decodeFrame(bytes.substr(offset), replicaSeed);
        if (!frame || frame->sequence != found.nextSequence) {
            // A batch is written only after the one before it was synced. So if a later one is
            // there, this one was acknowledged and has been damaged since; cutting it off would
            // lose what others rely on. Only the very last batch can be torn by a crash.
            const auto rest = bytes.substr(offset);
            if (!isNewest || holdsLaterFrame(rest, found.nextSequence, replicaSeed))
                return damaged(name, "at byte " + std::to_string(offset));
            break;
        }
        auto batch = decode<WriteBatch>(frame->payload);
        if (!batch)
            return damaged(name, "at byte " + std::to_string(offset));
        if (auto replayed = this->replay(found, batch.value()); !replayed)
            return damaged(name, replayed.error().message);
        for (const LogEntry &entry : batch.value().entries)
            segment.lastIndex = std::max(segment.lastIndex, entry.index);
        ++found.nextSequence;
        offset += frame->bytes();
    }
    found.tornAt = offset < bytes.size() ? offset : 0;
    segment.bytes = offset;
    found.segments.push_back(segment);
    return boost::outcome_v2::success();
}

Result<void> Journal::replay(Found &found, const WriteBatch &batch) const
{
    auto &entries = found.state.entries;
    if (batch.hardState)
        found.state.hardState = *batch.hardState;
    if (batch.resetTo) {
        entries.clear();
        found.base = *batch.resetTo;
        found.hasBase = true;
    }
    for (const LogEntry &entry : batch.entries) {
        if (!found.hasBase && entry.index > 0) {
            found.base = entry.index - 1; // older segments were released
            found.hasBase = true;
        }
        if (entry.index <= found.base) {
            // Replaces entries of released segments; only below the snapshot, so never read.
            entries.clear();
            found.base = entry.index - 1;
        }
        if (entry.index > found.base + entries.size() + 1)
            return failure(ErrorCode::Corrupt, "entries are missing before an entry");
        entries.resize(entry.index - found.base - 1);
        entries.push_back(entry);
    }
    return boost::outcome_v2::success();
}

Result<void> Journal::readSnapshotFile(Found &found)
{
    const LogIndex index = *found.snapshots.rbegin();
    const std::string name = snapshotName(index);
    auto content = this->disk->read(name);
    if (!content)
        return content.error();
    const std::string_view bytes = content.value();
    if (bytes.substr(0, fileMarkBytes) != fileMark(snapshotMark))
        return foreign(name, "is not a snapshot in a format that this version knows");
    const auto frame = decodeFrame(bytes.substr(fileMarkBytes), idValue(found.identity.replica));
    auto header = decode<SnapshotHeader>(frame ? frame->payload : std::string_view());
    if (!frame || !header)
        return damaged(name, "its header's checksum is wrong");
    const SnapshotMeta &meta = header.value().meta;
    found.snapshotStateAt = fileMarkBytes + frame->bytes();
    const std::string_view state = bytes.substr(found.snapshotStateAt);
    if (meta.index != index || state.size() != meta.size || checksumOf(state) != meta.checksum)
        return damaged(name, "its checksum is wrong");
    found.state.snapshot = meta;
    found.state.snapshotState = std::string(state);
    for (const LogIndex older : found.snapshots) {
        if (older != index)
            found.leftovers.push_back(snapshotName(older));
    }
    return boost::outcome_v2::success();
}

/// Leaves only the entries that follow the snapshot.
Result<void> Journal::joinSnapshot(Found &found) const
{
    auto &entries = found.state.entries;
    const LogIndex snapshot = found.state.snapshot ? found.state.snapshot->index : 0;
    if (found.base > snapshot) {
        return damaged(segmentName(*found.segmentNumbers.begin()),
                       "the snapshot before entry " + std::to_string(found.base + 1)
                           + " is missing");
    }
    if (snapshot == 0)
        return boost::outcome_v2::success();
    const LogIndex last = found.base + entries.size();
    const bool isInside = snapshot > found.base && snapshot <= last;
    const bool agrees =
        isInside && entries[snapshot - found.base - 1].term == found.state.snapshot->term;
    if (agrees) {
        entries.erase(entries.begin(),
                      entries.begin() + static_cast<std::ptrdiff_t>(snapshot - found.base));
    } else if (snapshot != found.base) {
        // The crash came between a leader's snapshot and the record that drops the old log.
        entries.clear();
        found.dropsEntries = true;
    }
    return boost::outcome_v2::success();
}

/// Makes the folder what recover() says it is.
Result<void> Journal::tidy(const Found &found)
{
    for (const std::string &name : found.leftovers) {
        if (auto removed = this->disk->remove(name); !removed)
            return removed;
    }
    this->identity = found.identity;
    this->hardState = found.state.hardState;
    this->segments = found.segments;
    this->nextSequence = found.nextSequence;
    this->snapshotIndex = found.state.snapshot ? found.state.snapshot->index : 0;
    this->snapshotStateAt = found.snapshotStateAt;
    if (this->segments.empty()) {
        this->identity.clusterId = this->options.clusterId;
        this->identity.group = this->options.group;
        do {
            this->identity.replica = static_cast<ReplicaId>(this->options.random());
        } while (this->identity.replica == ReplicaId::None);
        return this->beginSegment();
    }
    if (found.tornAt != 0) {
        const std::string name = segmentName(this->segments.back().number);
        if (auto cut = this->disk->truncate(name, found.tornAt); !cut)
            return cut;
        if (auto synced = this->disk->sync(name); !synced)
            return synced;
    }
    if (found.dropsEntries) {
        WriteBatch reset;
        reset.resetTo = this->snapshotIndex;
        return this->write(reset);
    }
    return boost::outcome_v2::success();
}

} // namespace guavavalve
