#include "journal/posixdisk.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace guavavalve {

namespace {

constexpr mode_t fileMode = 0640;

/// Closes a file descriptor at the end of a scope.
class FileCloser
{
public:
    explicit FileCloser(int opened)
        : file(opened)
    {}
    ~FileCloser() { ::close(this->file); }
    FileCloser(const FileCloser &) = delete;
    FileCloser &operator=(const FileCloser &) = delete;

private:
    int file;
};

/// Errors that mean that the disk is out of space and has written nothing.
bool isOutOfSpace(int systemCode)
{
    return systemCode == ENOSPC || systemCode == EDQUOT || systemCode == EFBIG;
}

/// Errors that mean that no file descriptor was available.
bool isOutOfDescriptors(int systemCode)
{
    return systemCode == EMFILE || systemCode == ENFILE;
}

} // namespace

PosixDisk::PosixDisk(std::string path, WriteCall write)
    : folder(std::move(path))
    , writeCall(write ? std::move(write) : WriteCall(::write))
{}

PosixDisk::~PosixDisk()
{
    for (const auto &[name, opened] : this->appending)
        ::close(opened.file);
    if (this->lockFile >= 0)
        ::close(this->lockFile);
}

Result<void> PosixDisk::createFolder()
{
    std::error_code problem;
    std::filesystem::create_directories(this->folder, problem);
    if (problem) {
        return failure(isOutOfSpace(problem.value()) ? ErrorCode::WriteRefused
                                                     : ErrorCode::Unavailable,
                       "cannot create the folder " + this->folder + ": " + problem.message());
    }
    const std::string parent =
        std::filesystem::absolute(std::filesystem::path(this->folder)).parent_path().string();
    PosixDisk parentDisk(parent);
    return parentDisk.syncFolder();
}

std::string PosixDisk::path(const std::string &name) const
{
    return this->folder + "/" + name;
}

Error PosixDisk::systemError(const std::string &what, const std::string &name) const
{
    return failure(ErrorCode::Unavailable,
                   what + " " + this->path(name) + ": " + std::generic_category().message(errno));
}

/// The error of a call that changes files, other than a sync. Such a call has changed nothing if it
/// failed for lack of space or of descriptors: WriteRefused. A sync that runs out of space,
/// however, may have lost data that was written before it.
Error PosixDisk::changeError(const std::string &what, const std::string &name) const
{
    const bool isRefusal = isOutOfSpace(errno) || isOutOfDescriptors(errno);
    Error error = this->systemError(what, name);
    if (isRefusal)
        error.code = ErrorCode::WriteRefused;
    return error;
}

Result<void> PosixDisk::lock(const std::string &name)
{
    const int file = ::open(this->path(name).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (file < 0)
        return this->systemError("cannot open", name);
    if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
        const bool isHeld = errno == EWOULDBLOCK;
        const Error error = this->systemError("cannot lock", name);
        ::close(file);
        if (!isHeld)
            return error;
        return failure(ErrorCode::InUse,
                       "another process uses the folder " + this->folder
                           + "; stop it, or give this instance a folder of its own");
    }
    this->lockFile = file;
    return boost::outcome_v2::success();
}

Result<std::vector<std::string>> PosixDisk::list()
{
    std::vector<std::string> names;
    std::error_code problem;
    for (std::filesystem::directory_iterator entry(this->folder, problem), end;
         !problem && entry != end; entry.increment(problem)) {
        names.push_back(entry->path().filename().string());
    }
    if (problem) {
        return failure(ErrorCode::Unavailable,
                       "cannot list " + this->folder + ": " + problem.message());
    }
    return names;
}

Result<std::string> PosixDisk::read(const std::string &name)
{
    struct stat info = {};
    if (::stat(this->path(name).c_str(), &info) != 0)
        return this->systemError("cannot read", name);
    return this->readRange(name, 0, static_cast<std::size_t>(info.st_size));
}

Result<std::string> PosixDisk::readRange(const std::string &name, std::uint64_t offset,
                                         std::size_t length)
{
    const int file = ::open(this->path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return this->systemError("cannot read", name);
    const FileCloser closer(file);
    std::string bytes(length, '\0');
    std::size_t done = 0;
    while (done < length) {
        const ssize_t count =
            ::pread(file, bytes.data() + done, length - done, static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return this->systemError("cannot read", name);
        if (count == 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    bytes.resize(done);
    return bytes;
}

Result<PosixDisk::AppendFile *> PosixDisk::openForAppend(const std::string &name)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->appending.find(name);
    if (found != this->appending.end())
        return &found->second;
    const int file =
        ::open(this->path(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (file < 0)
        return this->changeError("cannot open", name);
    struct stat info = {};
    if (::fstat(file, &info) != 0) {
        Error error = this->systemError("cannot read the size of", name);
        ::close(file);
        return error;
    }
    AppendFile opened;
    opened.file = file;
    opened.size = static_cast<std::uint64_t>(info.st_size);
    return &this->appending.emplace(name, opened).first->second;
}

bool PosixDisk::writeAll(int file, const std::string &bytes) const
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t count = this->writeCall(file, bytes.data() + written, bytes.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

void PosixDisk::closeFile(const std::string &name)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->appending.find(name);
    if (found == this->appending.end())
        return;
    ::close(found->second.file);
    this->appending.erase(found);
}

/// A full disk may accept part of a write before it refuses the rest. The file is then truncated to
/// its previous size (before the next append if that fails, too), so that no record ever follows a
/// torn one.
Result<void> PosixDisk::append(const std::string &name, const std::string &bytes)
{
    const auto opened = this->openForAppend(name);
    if (!opened)
        return opened.error();
    AppendFile &to = *opened.value();
    const auto size = static_cast<off_t>(to.size);
    if (to.hasTornTail && ::ftruncate(to.file, size) != 0)
        return this->changeError("cannot truncate", name);
    to.hasTornTail = false;
    if (!this->writeAll(to.file, bytes)) {
        const Error error = this->changeError("cannot write", name);
        to.hasTornTail = ::ftruncate(to.file, size) != 0;
        return error;
    }
    to.size += bytes.size();
    return boost::outcome_v2::success();
}

Result<void> PosixDisk::truncate(const std::string &name, std::uint64_t size)
{
    this->closeFile(name);
    if (::truncate(this->path(name).c_str(), static_cast<off_t>(size)) != 0)
        return this->changeError("cannot truncate", name);
    return boost::outcome_v2::success();
}

Result<void> PosixDisk::sync(const std::string &name)
{
    const auto opened = this->openForAppend(name);
    if (!opened)
        return opened.error();
    if (::fdatasync(opened.value()->file) != 0)
        return this->systemError("cannot sync", name);
    return boost::outcome_v2::success();
}

Result<void> PosixDisk::rename(const std::string &from, const std::string &to)
{
    this->closeFile(from);
    this->closeFile(to);
    if (::rename(this->path(from).c_str(), this->path(to).c_str()) != 0)
        return this->changeError("cannot rename", from);
    return boost::outcome_v2::success();
}

Result<void> PosixDisk::remove(const std::string &name)
{
    this->closeFile(name);
    if (::unlink(this->path(name).c_str()) != 0 && errno != ENOENT)
        return this->changeError("cannot remove", name);
    return boost::outcome_v2::success();
}

Result<void> PosixDisk::syncFolder()
{
    const int file = ::open(this->folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (file < 0)
        return this->systemError("cannot open", "");
    const FileCloser closer(file);
    if (::fsync(file) != 0)
        return this->systemError("cannot sync", "");
    return boost::outcome_v2::success();
}

} // namespace guavavalve
