#pragma once

#include "core/error.h"
#include "journal/recoveredstate.h"
#include "journal/snapshotmeta.h"
#include "journal/writebatch.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace guavavalve {

/// Durable storage of a replica. The implementation is Journal; tests run it on a fake disk.
class Storage
{
public:
    virtual ~Storage() = default;

    /// Reads the stored state. Must be called once, before any other function.
    /// \errors Corrupt for damage other than a torn tail, Conflict for files of another cluster,
    /// group or format, InUse if another process uses the folder. None changes any stored data.
    virtual Result<RecoveredState> recover() = 0;

    /// Makes \a batch durable with one sync.
    /// \errors WriteRefused: nothing of the batch takes effect, and the same call may be retried.
    /// This also holds for the functions below. After any other error this object must not be
    /// used further, since it is unknown what is on the disk.
    virtual Result<void> write(const WriteBatch &batch) = 0;

    /// Writes a snapshot to its own file and makes it durable; may run concurrently with write().
    virtual Result<void> saveSnapshot(const SnapshotMeta &meta, const std::string &state) = 0;

    /// Reads \a length bytes of the newest snapshot's state; its index must be \a index.
    virtual Result<std::string> readSnapshot(LogIndex index, std::uint64_t offset,
                                             std::size_t length) = 0;

    /// Removes log files that contain no entry after \a through.
    virtual Result<void> release(LogIndex through) = 0;
};

} // namespace guavavalve
