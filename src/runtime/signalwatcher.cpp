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

SignalWatcher::SignalWatcher(std::function<void(int signal)> onFirst,
                             std::function<void()> onReload)
{
    const sigset_t set = watchedSignals();
    this->signals = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    this->wakeUp = eventfd(0, EFD_CLOEXEC);
    assert(this->signals >= 0 && this->wakeUp >= 0 && "raise the limit of open files");
    this->thread =
        std::thread([this, onFirst = std::move(onFirst), onReload = std::move(onReload)] {
            this->watch(onFirst, onReload);
        });
}

SignalWatcher::~SignalWatcher()
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = write(this->wakeUp, &one, sizeof one);
    this->thread.join();
    close(this->signals);
    close(this->wakeUp);
}

void SignalWatcher::watch(const std::function<void(int signal)> &onFirst,
                          const std::function<void()> &onReload) const
{
    bool called = false;
    std::array<pollfd, 2> waited{{{this->signals, POLLIN, 0}, {this->wakeUp, POLLIN, 0}}};
    while (true) {
        if (poll(waited.data(), waited.size(), -1) < 0)
            continue; // EINTR: some other signal
        if (waited[1].revents != 0)
            return;
        signalfd_siginfo info{};
        const bool whole = read(this->signals, &info, sizeof info) == sizeof info;
        if (whole && info.ssi_signo == SIGHUP && onReload)
            onReload();
        if (!whole || called || info.ssi_signo == SIGHUP)
            continue;
        called = true;
        onFirst(static_cast<int>(info.ssi_signo));
    }
}

} // namespace guavavalve
