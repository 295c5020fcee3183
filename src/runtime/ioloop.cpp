#include "runtime/ioloop.h"

#include "runtime/logging.h"
#include "runtime/loglimiter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <exception>
#include <string>
#include <thread>
#include <utility>

namespace guavavalve {

namespace {

/// One line in this time for all exceptions: a caller may cause one with each request.
constexpr Milliseconds exceptionLogInterval{250};
/// Short compared to the time for which callers wait.
constexpr Milliseconds pulseInterval{50};

} // namespace

struct IoLoop::Private
{
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    boost::asio::io_context context{1};
    Guard guard = boost::asio::make_work_guard(this->context);
    std::thread thread;
    std::atomic<std::uint64_t> exceptions{0};
    LogLimiter exceptionLines{exceptionLogInterval};
    boost::asio::steady_timer pulseTimer{this->context};
    Instant pulseAt = monotonicNow(); ///< the last pulse; used on the loop only, as the next one
    Instant pulseBefore = this->pulseAt; ///< the one before it

    void pulse();
    void run();
    void noteException(const std::exception &problem);
};

/// All that had arrived before a pulse has been read by the next one, since what is ready runs in
/// turn. So the loop need not know whether, and when, it stood still.
void IoLoop::Private::pulse()
{
    this->pulseBefore = std::exchange(this->pulseAt, monotonicNow());
    this->pulseTimer.expires_after(pulseInterval);
    this->pulseTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->pulse();
    });
}

void IoLoop::Private::run()
{
    for (;;) {
        try {
            this->context.run();
            return;
        } catch (const std::exception &problem) {
            this->noteException(problem);
        }
    }
}

void IoLoop::Private::noteException(const std::exception &problem)
{
    ++this->exceptions;
    if (const auto events = this->exceptionLines.count(monotonicNow())) {
        logEvent(LogLevel::Error, "exception-caught",
                 {{"where", "loop"},
                  {"exceptions", std::to_string(*events)},
                  {"error", problem.what()}});
    }
}

IoLoop::IoLoop()
    : d(std::make_shared<Private>())
{
    this->d->pulse();
    this->d->thread = std::thread([own = this->d] { own->run(); });
}

IoLoop::~IoLoop()
{
    this->stop();
}

void IoLoop::stop()
{
    this->d->context.stop();
    if (!this->d->thread.joinable())
        return;
    // The last reference to a loop may be released by an action that runs on it. Joining would then
    // make the thread wait for itself, which terminates the process.
    if (this->isCurrentThread())
        this->d->thread.detach();
    else
        this->d->thread.join();
}

void IoLoop::post(Action action)
{
    boost::asio::post(this->d->context, std::move(action));
}

void IoLoop::dispatch(Action action)
{
    if (this->isCurrentThread())
        action();
    else
        this->post(std::move(action));
}

void IoLoop::runAfter(Microseconds delay, Action action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->d->context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code error) {
        if (!error)
            action();
    });
}

Instant IoLoop::inputNotBefore() const
{
    return this->d->pulseBefore;
}

std::uint64_t IoLoop::exceptions() const
{
    return this->d->exceptions;
}

bool IoLoop::isCurrentThread() const
{
    return std::this_thread::get_id() == this->d->thread.get_id();
}

bool IoLoop::isStopped() const
{
    return this->d->context.stopped();
}

boost::asio::io_context &IoLoop::context()
{
    return this->d->context;
}

} // namespace guavavalve
