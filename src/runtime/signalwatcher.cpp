#include "runtime/signalwatcher.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <csignal>
#include <cstdint>

namespace guavavalve {

namespace {

sigset_t watchedSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

void SignalWatcher::blockSignals()
{
    const sigset_t set = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::SignalWatcher(std::function<void(int signal)> onTerminate,
                             std::function<void()> onReload)
{
    const sigset_t set = watchedSignals();
    this->signals = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    this->stopEvent = eventfd(0, EFD_CLOEXEC);
    assert(this->signals >= 0 && this->stopEvent >= 0
           && "cannot create a descriptor: raise the limit of open files");
    this->thread =
        std::thread([this, onTerminate = std::move(onTerminate), onReload = std::move(onReload)] {
            this->watch(onTerminate, onReload);
        });
}

SignalWatcher::~SignalWatcher()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(this->stopEvent, &one, sizeof one);
    this->thread.join();
    close(this->signals);
    close(this->stopEvent);
}

void SignalWatcher::watch(const std::function<void(int signal)> &onTerminate,
                          const std::function<void()> &onReload) const
{
    bool called = false;
    std::array<pollfd, 2> polled{{{this->signals, POLLIN, 0}, {this->stopEvent, POLLIN, 0}}};
    while (true) {
        if (poll(polled.data(), polled.size(), -1) < 0)
            continue; // EINTR: interrupted by another signal
        if (polled[1].revents != 0)
            return;
        signalfd_siginfo info{};
        const bool isComplete = read(this->signals, &info, sizeof info) == sizeof info;
        if (isComplete && info.ssi_signo == SIGHUP && onReload)
            onReload();
        if (!isComplete || called || info.ssi_signo == SIGHUP)
            continue;
        called = true;
        onTerminate(static_cast<int>(info.ssi_signo));
    }
}

} // namespace guavavalve
