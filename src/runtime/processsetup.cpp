#include "runtime/processsetup.h"

#include "runtime/signalwatcher.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

namespace guavavalve {

namespace {

/// A new descriptor has the lowest number that is free: one above the standard ones shows that all
/// of these are open.
void openStandardDescriptors()
{
    int opened = -1;
    do {
        opened = ::open("/dev/null", O_RDWR);
    } while (opened >= 0 && opened <= STDERR_FILENO);
    if (opened >= 0)
        ::close(opened);
}

} // namespace

void prepareProcess()
{
    SignalWatcher::blockSignals();
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);
    openStandardDescriptors();
}

} // namespace guavavalve
