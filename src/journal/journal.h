#pragma once

#include "journal/disk.h"
#include "journal/journaloptions.h"
#include "journal/segmentheader.h"
#include "journal/storage.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace guavavalve {

/// Storage in a folder with a lock file, numbered segments of checksummed frames, and a snapshot.
///
/// docs/design/replication.md describes the files and the faults that each guards against.
class Journal : public Storage
{
public:
    Journal(std::unique_ptr<Disk> disk, JournalOptions options);
    ~Journal() override;

    Result<RecoveredState> recover() override;
    Result<void> write(const WriteBatch &batch) override;
    Result<void> saveSnapshot(const SnapshotMeta &meta, const std::string &state) override;
    Result<std::string> readSnapshot(LogIndex index, std::uint64_t offset,
                                     std::size_t length) override;
    Result<void> release(LogIndex through) override;

    /// Number of segments, including the one that is being written.
    std::size_t segmentCount() const { return this->segments.size(); }

private:
    struct Segment
    {
        std::uint64_t number = 0;
        std::uint64_t bytes = 0;
        LogIndex lastIndex = 0; ///< highest index of any entry in the segment
    };
    struct RecoveryScan;

    Result<void> rewriteFiles();
    Result<RecoveryScan> readFolder();
    Result<void> readSnapshotFile(RecoveryScan &scan);
    Result<void> readSegment(RecoveryScan &scan, std::uint64_t number, bool isNewest);
    Result<SegmentHeader> readHeader(const std::string &name, std::string_view bytes) const;
    Result<void> replay(RecoveryScan &scan, const WriteBatch &batch) const;
    Result<void> trimToSnapshot(RecoveryScan &scan) const;
    Result<void> syncScanned(const RecoveryScan &scan);
    Result<void> applyScan(const RecoveryScan &scan);
    Result<void> beginSegment();
    Result<void> writeFileAtomically(const std::string &name, const std::string &head,
                                     const std::string &rest = {});
    std::uint64_t seed() const;

    std::unique_ptr<Disk> disk;
    JournalOptions options;
    ReplicaIdentity identity;
    HardState hardState;
    std::uint64_t nextSequence = 1;
    std::deque<Segment> segments;
    std::mutex saveMutex; ///< serializes the writing of snapshots
    /// Guards the two members below. Held only briefly, because the log's thread takes it as well.
    std::mutex snapshotMutex;
    LogIndex snapshotIndex = 0;
    std::uint64_t snapshotStateOffset = 0; ///< offset of the state in the snapshot file
};

/// Creates the journal of one group, in the subfolder "group-N" of \a dataFolder.
Result<std::unique_ptr<Journal>> openJournal(const std::string &dataFolder, JournalOptions options);

} // namespace guavavalve
