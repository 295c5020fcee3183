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

/// A replica's folder: a lock file, numbered segments of checksummed frames, and a snapshot.
///
/// docs/design/replication.md describes the files and what each guards against.
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

    /// Segments there are, the one being written included.
    std::size_t segmentCount() const { return this->segments.size(); }

private:
    struct Segment
    {
        std::uint64_t number = 0;
        std::uint64_t bytes = 0;
        LogIndex lastIndex = 0; ///< the highest index that any entry in it has
    };
    struct Found;

    Result<Found> readFolder();
    Result<void> readSnapshotFile(Found &found);
    Result<void> readSegment(Found &found, std::uint64_t number, bool isNewest);
    Result<SegmentHeader> readHeader(const std::string &name, std::string_view bytes) const;
    Result<void> replay(Found &found, const WriteBatch &batch) const;
    Result<void> joinSnapshot(Found &found) const;
    Result<void> tidy(const Found &found);
    Result<void> beginSegment();
    Result<void> putBeside(const std::string &name, const std::string &head,
                           const std::string &rest = {});
    std::uint64_t seed() const;

    std::unique_ptr<Disk> disk;
    JournalOptions options;
    ReplicaIdentity identity;
    HardState hardState;
    std::uint64_t nextSequence = 1;
    std::deque<Segment> segments;
    std::mutex saveMutex; ///< one snapshot is written at a time
    std::mutex snapshotMutex; ///< guards the two below; held shortly, since the log's thread reads
    LogIndex snapshotIndex = 0;
    std::uint64_t snapshotStateAt = 0; ///< where in the file the state begins
};

/// The journal of one group under \a dataFolder, in its folder "group-N".
Result<std::unique_ptr<Journal>> openJournal(const std::string &dataFolder, JournalOptions options);

} // namespace guavavalve
