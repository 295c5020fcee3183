#include "runtime/outputsink.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <climits>
#include <string>

namespace guavavalve {

namespace {

/// A reader that is slower than this loses lines.
constexpr Milliseconds writeTimeout{200};

/// A description of the same pipe that does not block, without a change for other processes that
/// have the pipe too; -1 if \a descriptor is no pipe.
int openWithoutBlocking(int descriptor)
{
    struct stat status = {};
    if (::fstat(descriptor, &status) != 0 || !S_ISFIFO(status.st_mode))
        return -1;
    const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
    return ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

} // namespace

OutputSink::OutputSink(int descriptor)
    : output(openWithoutBlocking(descriptor))
    , isOwned(this->output >= 0)
    , closeDeadline(Instant::max())
{
    if (!this->isOwned)
        this->output = descriptor;
}

OutputSink::~OutputSink()
{
    if (this->isOwned)
        ::close(this->output);
}

/// Once the output has taken nothing for a while, lines are dropped without a wait until it does.
bool OutputSink::awaitRoom()
{
    const Instant now = monotonicNow();
    const Instant deadline =
        this->isBlocked ? now : std::min(now + writeTimeout, this->closeDeadline.load());
    const auto wait = std::chrono::ceil<Milliseconds>(std::max(deadline, now) - now);
    pollfd polled{this->output, POLLOUT, 0};
    this->isBlocked = ::poll(&polled, 1, static_cast<int>(wait.count())) <= 0;
    return !this->isBlocked;
}

/// A pipe that has room takes up to PIPE_BUF bytes at once.
bool OutputSink::write(std::string_view text)
{
    while (!text.empty()) {
        if (!this->awaitRoom())
            return false;
        const ssize_t written =
            ::write(this->output, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
        this->isLineCut = !text.empty();
    }
    return true;
}

void OutputSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    if (this->isLineCut)
        line.push_back('\n');
    this->formatter_->format(message, line);
    if (!this->write({line.data(), line.size()}))
        ++this->dropped;
}

} // namespace guavavalve
