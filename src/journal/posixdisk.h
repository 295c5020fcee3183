#pragma once

#include "journal/disk.h"

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace guavavalve {

/// A folder of the file system. Several threads may use different files of it concurrently.
class PosixDisk : public Disk
{
public:
    /// write(2), or a replacement in tests.
    using WriteCall = std::function<ssize_t(int file, const char *bytes, std::size_t count)>;

    explicit PosixDisk(std::string folder, WriteCall writeCall = {});
    ~PosixDisk() override;
    PosixDisk(const PosixDisk &) = delete;
    PosixDisk &operator=(const PosixDisk &) = delete;

    /// Creates the folder and its parents if they do not exist, and syncs the folder's name.
    Result<void> createFolder();

    Result<void> lock(const std::string &name) override;
    Result<std::vector<std::string>> list() override;
    Result<std::string> read(const std::string &name) override;
    Result<std::string> readRange(const std::string &name, std::uint64_t offset,
                                  std::size_t length) override;
    Result<void> append(const std::string &name, const std::string &bytes) override;
    Result<void> truncate(const std::string &name, std::uint64_t size) override;
    Result<void> sync(const std::string &name) override;
    Result<void> rename(const std::string &from, const std::string &to) override;
    Result<void> remove(const std::string &name) override;
    Result<void> syncFolder() override;

private:
    std::string path(const std::string &name) const;
    struct AppendFile
    {
        int file = -1;
        std::uint64_t size = 0; ///< end of the last append that succeeded
        bool hasTornTail = false; ///< part of a failed append still follows `size`
    };

    Error systemError(const std::string &what, const std::string &name) const;
    Error changeError(const std::string &what, const std::string &name) const;
    Result<AppendFile *> openForAppend(const std::string &name);
    bool writeAll(int file, const std::string &bytes) const;
    void closeFile(const std::string &name);

    std::string folder;
    int lockFile = -1;
    std::mutex mutex;
    std::map<std::string, AppendFile> appending; ///< open files by name
    WriteCall writeCall;
};

} // namespace guavavalve
