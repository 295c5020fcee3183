#include "runtime/ioloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <thread>
#include <utility>

namespace guavavalve {

struct IoLoop::Private
{
    using Guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    boost::asio::io_context context{1};
    Guard guard = boost::asio::make_work_guard(this->context);
    std::thread thread;
};

IoLoop::IoLoop()
    : d(std::make_shared<Private>())
{
    this->d->thread = std::thread([own = this->d] { own->context.run(); });
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
