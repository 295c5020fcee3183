#pragma once

#include "core/error.h"
#include "journal/recoveredstate.h"
#include "journal/snapshotmeta.h"
#include "journal/writebatch.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve {

/// Where a replica keeps what must survive. The journal is the real one; tests have a fake disk.
class Storage
{
public:
    virtual ~Storage() = default;

    /// Reads everything back. Called once, before anything else.
    /// \errors Corrupt for damage that is not a torn tail, Conflict for files of another cluster,
    /// group or format. Nothing has been changed on an error.
    virtual Result<RecoveredState> recover() = 0;

    /// Makes \a batch durable with one sync.
    /// \errors WriteRefused: nothing of the batch counts, and the same call may be tried again, as
    /// for the calls below. After any other error the process must not go on: what is on the disk
    /// is unknown.
    virtual Result<void> write(const WriteBatch &batch) = 0;

    /// Writes a snapshot beside the log and makes it durable; may run beside write().
    virtual Result<void> saveSnapshot(const SnapshotMeta &meta, const std::string &state) = 0;

    /// Reads \a length bytes of the newest snapshot, which must be the one of \a index.
    virtual Result<std::string> readSnapshot(LogIndex index, std::uint64_t offset,
                                             std::size_t length) = 0;

    /// Removes log files that hold nothing after \a through.
    virtual Result<void> release(LogIndex through) = 0;
};

} // namespace guavavalve
