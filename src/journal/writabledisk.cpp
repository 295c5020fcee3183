#include "journal/writabledisk.h"

#include "journal/disk.h"

#include <string>

namespace guavavalve {

namespace {

constexpr const char *probeName = "writable";
/// At least as much as the first writes after a start: the vote, the term and a record.
constexpr std::size_t probeBytes = 8192;

Result<void> tryWrite(Disk &disk)
{
    if (auto appended = disk.append(probeName, std::string(probeBytes, '\0')); !appended)
        return appended;
    if (auto synced = disk.sync(probeName); !synced)
        return synced;
    return disk.remove(probeName);
}

} // namespace

Result<void> waitUntilWritable(Disk &disk, const std::function<bool(const Error &)> &pause)
{
    for (;;) {
        Result<void> written = tryWrite(disk);
        if (written || !pause(written.error()))
            return written;
    }
}

} // namespace guavavalve
