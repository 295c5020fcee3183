#include "scenarios/forwarder.h"

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace scenarios {

namespace {

using boost::asio::ip::tcp;

/// A caller's connection and the one to the target.
struct Link : std::enable_shared_from_this<Link>
{
    explicit Link(boost::asio::io_context &context)
        : caller(context)
        , target(context)
    {}

    tcp::socket caller;
    tcp::socket target;
    std::array<char, 16384> forth{};
    std::array<char, 16384> back{};
    bool swallowsForth = false;
    bool swallowsBack = false;
    bool holds = false;
    std::string held;

    void pump(tcp::socket &from, tcp::socket &to, std::array<char, 16384> &buffer,
              const bool &swallows)
    {
        auto self = this->shared_from_this();
        from.async_read_some(
            boost::asio::buffer(buffer),
            [self, &from, &to, &buffer, &swallows](const auto &error, std::size_t bytes) {
                if (swallows) {
                    // Nothing goes on, not even the end of the connection.
                    if (!error)
                        self->pump(from, to, buffer, swallows);
                    return;
                }
                if (self->holds && &from == &self->caller) {
                    self->held.append(buffer.data(), bytes);
                    if (!error)
                        self->pump(from, to, buffer, swallows);
                    return;
                }
                if (error) {
                    self->close();
                    return;
                }
                boost::asio::async_write(
                    to, boost::asio::buffer(buffer.data(), bytes),
                    [self, &from, &to, &buffer, &swallows](const auto &failed, std::size_t) {
                        if (failed)
                            self->close();
                        else
                            self->pump(from, to, buffer, swallows);
                    });
            });
    }

    void release()
    {
        if (!this->holds)
            return;
        this->holds = false;
        auto self = this->shared_from_this();
        boost::asio::async_write(this->target, boost::asio::buffer(this->held),
                                 [self](const auto &, std::size_t) {});
    }

    void close()
    {
        boost::system::error_code ignored;
        this->caller.close(ignored);
        this->target.close(ignored);
    }
};

} // namespace

/// All of it runs on the forwarder's own thread; commands are posted to it.
struct Forwarder::Private
{
    explicit Private(std::uint16_t targetPort)
        : targetPort(targetPort)
    {}

    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::uint16_t targetPort;
    bool isCut = false;
    bool isHolding = false;
    std::set<std::shared_ptr<Link>> links;
    std::thread thread;

    void accept()
    {
        auto link = std::make_shared<Link>(this->context);
        this->acceptor.async_accept(link->caller, [this, link](const auto &error) {
            if (error)
                return;
            this->opened(link);
            this->accept();
        });
    }

    void opened(const std::shared_ptr<Link> &link)
    {
        if (this->isCut) {
            link->close();
            return;
        }
        link->holds = this->isHolding;
        link->target.async_connect(
            {boost::asio::ip::address_v4::loopback(), this->targetPort},
            [this, link](const auto &error) {
                if (error) {
                    link->close();
                    return;
                }
                this->links.insert(link);
                link->pump(link->caller, link->target, link->forth, link->swallowsForth);
                link->pump(link->target, link->caller, link->back, link->swallowsBack);
            });
    }

    void run(std::function<void()> command)
    {
        boost::asio::post(this->context, std::move(command));
    }
};

Forwarder::Forwarder(std::uint16_t targetPort)
    : d(std::make_shared<Private>(targetPort))
{
    this->d->accept();
    this->d->thread = std::thread([d = this->d] { d->context.run(); });
}

Forwarder::~Forwarder()
{
    this->d->context.stop();
    this->d->thread.join();
    this->d->links.clear();
}

std::uint16_t Forwarder::port() const
{
    return this->d->acceptor.local_endpoint().port();
}

void Forwarder::cut()
{
    this->d->run([d = this->d] {
        d->isCut = true;
        for (const auto &link : d->links)
            link->close();
        d->links.clear();
    });
}

void Forwarder::silence()
{
    this->d->run([d = this->d] {
        for (const auto &link : d->links) {
            link->swallowsForth = true;
            link->swallowsBack = true;
        }
    });
}

void Forwarder::silenceReplies()
{
    this->d->run([d = this->d] {
        for (const auto &link : d->links)
            link->swallowsBack = true;
    });
}

void Forwarder::hold()
{
    // Connections that are open already would let the next request through.
    this->d->run([d = this->d] {
        d->isHolding = true;
        for (const auto &link : d->links)
            link->holds = true;
    });
}

void Forwarder::release()
{
    this->d->run([d = this->d] {
        for (const auto &link : d->links)
            link->release();
    });
}

void Forwarder::heal()
{
    this->d->run([d = this->d] {
        d->isCut = false;
        d->isHolding = false;
    });
}

} // namespace scenarios
