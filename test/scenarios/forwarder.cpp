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

/// The connection from a caller and the matching one to the target.
struct Link : std::enable_shared_from_this<Link>
{
    explicit Link(boost::asio::io_context &context)
        : caller(context)
        , target(context)
    {}

    tcp::socket caller;
    tcp::socket target;
    std::array<char, 16384> requestBuffer{};
    std::array<char, 16384> replyBuffer{};
    bool discardsRequests = false;
    bool discardsReplies = false;
    bool holdsRequests = false;
    std::string heldRequests;

    void pump(tcp::socket &from, tcp::socket &to, std::array<char, 16384> &buffer,
              const bool &discards)
    {
        auto self = this->shared_from_this();
        from.async_read_some(
            boost::asio::buffer(buffer),
            [self, &from, &to, &buffer, &discards](const auto &error, std::size_t bytes) {
                if (discards) {
                    // Nothing is passed on, not even the end of the connection.
                    if (!error)
                        self->pump(from, to, buffer, discards);
                    return;
                }
                if (self->holdsRequests && &from == &self->caller) {
                    self->heldRequests.append(buffer.data(), bytes);
                    if (!error)
                        self->pump(from, to, buffer, discards);
                    return;
                }
                if (error) {
                    self->close();
                    return;
                }
                boost::asio::async_write(
                    to, boost::asio::buffer(buffer.data(), bytes),
                    [self, &from, &to, &buffer, &discards](const auto &failed, std::size_t) {
                        if (failed)
                            self->close();
                        else
                            self->pump(from, to, buffer, discards);
                    });
            });
    }

    void release()
    {
        if (!this->holdsRequests)
            return;
        this->holdsRequests = false;
        auto self = this->shared_from_this();
        boost::asio::async_write(this->target, boost::asio::buffer(this->heldRequests),
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

/// Runs entirely on the forwarder's own thread; commands are posted to that thread.
struct Forwarder::Private
{
    explicit Private(std::uint16_t targetPort)
        : targetPort(targetPort)
    {}

    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::address_v4::loopback(), 0}};
    std::uint16_t targetPort;
    bool isCut = false;
    bool holdsNewLinks = false;
    std::set<std::shared_ptr<Link>> links;
    std::thread thread;

    void accept()
    {
        auto link = std::make_shared<Link>(this->context);
        this->acceptor.async_accept(link->caller, [this, link](const auto &error) {
            if (error)
                return;
            this->linkAccepted(link);
            this->accept();
        });
    }

    void linkAccepted(const std::shared_ptr<Link> &link)
    {
        if (this->isCut) {
            link->close();
            return;
        }
        link->holdsRequests = this->holdsNewLinks;
        link->target.async_connect(
            {boost::asio::ip::address_v4::loopback(), this->targetPort},
            [this, link](const auto &error) {
                if (error) {
                    link->close();
                    return;
                }
                this->links.insert(link);
                link->pump(link->caller, link->target, link->requestBuffer, link->discardsRequests);
                link->pump(link->target, link->caller, link->replyBuffer, link->discardsReplies);
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
            link->discardsRequests = true;
            link->discardsReplies = true;
        }
    });
}

void Forwarder::silenceReplies()
{
    this->d->run([d = this->d] {
        for (const auto &link : d->links)
            link->discardsReplies = true;
    });
}

void Forwarder::hold()
{
    // Open connections are held too, or they would let the next request through.
    this->d->run([d = this->d] {
        d->holdsNewLinks = true;
        for (const auto &link : d->links)
            link->holdsRequests = true;
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
        d->holdsNewLinks = false;
    });
}

} // namespace scenarios
