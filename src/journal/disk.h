#pragma once

#include "core/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The operations on a folder of files that the journal needs. File names have no directory part.
/// Nothing is durable until it is synced: a file's bytes by sync(), its name by syncFolder().
class Disk
{
public:
    virtual ~Disk() = default;

    /// Locks the folder against other processes until this object is destroyed.
    /// \errors InUse if another process holds the lock.
    virtual Result<void> lock(const std::string &name) = 0;
    virtual Result<std::vector<std::string>> list() = 0;
    virtual Result<std::string> read(const std::string &name) = 0;
    virtual Result<std::string> readRange(const std::string &name, std::uint64_t offset,
                                          std::size_t length) = 0;
    /// Appends \a bytes, creating the file if necessary.
    /// \errors WriteRefused: none of the bytes are in the file, now or later. The same holds for
    /// the other modifying functions below, except the syncs: after a failed sync it is unknown
    /// what is on the disk.
    virtual Result<void> append(const std::string &name, const std::string &bytes) = 0;
    virtual Result<void> truncate(const std::string &name, std::uint64_t size) = 0;
    virtual Result<void> sync(const std::string &name) = 0;
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// No error if the file does not exist.
    virtual Result<void> remove(const std::string &name) = 0;
    virtual Result<void> syncFolder() = 0;
};

} // namespace guavavalve
