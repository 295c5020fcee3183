#pragma once

#include "core/error.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// One folder of files, as the journal needs it. Names have no folder part. Nothing is durable
/// before its sync: a file's bytes by sync(), its name by syncFolder().
class Disk
{
public:
    virtual ~Disk() = default;

    /// Keeps other processes from the folder until this object ends.
    /// \errors Conflict if another has it.
    virtual Result<void> lock(const std::string &name) = 0;
    virtual Result<std::vector<std::string>> list() = 0;
    virtual Result<std::string> read(const std::string &name) = 0;
    virtual Result<std::string> readPart(const std::string &name, std::uint64_t offset,
                                         std::size_t length) = 0;
    /// Appends, creating the file if need be.
    /// \errors WriteRefused: nothing of it is in the file, now or later. So for the changes below,
    /// but for the syncs: after an error of theirs nobody knows what is on the disk.
    virtual Result<void> append(const std::string &name, const std::string &bytes) = 0;
    virtual Result<void> truncate(const std::string &name, std::uint64_t size) = 0;
    virtual Result<void> sync(const std::string &name) = 0;
    virtual Result<void> rename(const std::string &from, const std::string &to) = 0;
    /// No error if it is not there.
    virtual Result<void> remove(const std::string &name) = 0;
    virtual Result<void> syncFolder() = 0;
};

} // namespace guavavalve
