#include "runtime/httpserver.h"

#include "core/scopeexit.h"
#include "runtime/httpconnection.h"
#include "runtime/ioloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <condition_variable>
#include <future>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace guavavalve {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int retryAfterMs = 1000; // by then a shutdown or a burst of requests is usually over
/// Deadlines of connections are checked at this interval, so that requests need no timers of their
/// own.
constexpr Milliseconds sweepInterval{500};
constexpr Milliseconds acceptRetryDelay{50}; ///< after a connection could not be accepted

struct Route
{
    std::string method;
    std::string prefix;
    HttpHandler handler;
};

bool matchesPrefix(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

bool HeaderNameLess::operator()(std::string_view a, std::string_view b) const
{
    return std::lexicographical_compare(
        a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y) { return std::tolower(x) < std::tolower(y); });
}

std::string HttpRequest::header(std::string_view name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

std::string HttpRequest::parameter(const std::string &name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

struct HttpServer::Private : internal::HttpConnectionOwner,
                             std::enable_shared_from_this<HttpServer::Private>
{
    std::vector<Route> routes;
    std::shared_ptr<IoLoop> loop;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::unique_ptr<asio::steady_timer> sweepTimer;
    std::set<std::shared_ptr<internal::HttpConnection>> connections;
    std::uint64_t rejectedConnections = 0;
    std::array<std::uint64_t, reclaimReasonNames.size()> reclaimed{}; ///< by reason
    std::uint64_t lastShortages = 0; ///< of the budget, at the last sweep
    std::uint16_t port = 0;

    std::mutex mutex;
    std::condition_variable idle;
    std::size_t inFlight = 0;
    std::map<std::string, std::size_t> inFlightOfPeer;

    const Route *find(const std::string &method, const std::string &path, bool &pathKnown) const;
    bool reclaim(const std::shared_ptr<internal::HttpConnection> &connection, ReclaimReason reason);
    bool isMemoryShort();
    void accept();
    void acceptLater();
    void sweep();
    void closeAll();
    Error listenError(const boost::system::error_code &error) const;

    bool admit(const std::string &peer, HttpResponse &refused) override;
    void finished(const std::string &peer) override;
    void serve(HttpRequest request, HttpReply reply) override;
    void closed(const std::shared_ptr<internal::HttpConnection> &connection) override;
    bool reclaimBytes(const internal::HttpConnection &requester) override;
};

const Route *HttpServer::Private::find(const std::string &method, const std::string &path,
                                       bool &pathKnown) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        if (!matchesPrefix(route.prefix, path))
            continue;
        pathKnown = true;
        if (route.method != method && route.method != "*")
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

bool HttpServer::Private::admit(const std::string &peer, HttpResponse &refused)
{
    using internal::httpRefusal;
    if (!this->accepting) {
        refused = httpRefusal(503, "unavailable", "this instance is shutting down", retryAfterMs);
        return false;
    }
    const std::lock_guard lock(this->mutex);
    if (this->inFlight >= this->options.maxInFlight) {
        refused = httpRefusal(503, "limit-exceeded", "too many requests in flight", retryAfterMs);
        return false;
    }
    std::size_t &ofPeer = this->inFlightOfPeer[peer];
    if (ofPeer >= this->options.maxInFlightPerPeer) {
        refused = httpRefusal(429, "limit-exceeded", "too many requests of this peer in flight",
                              retryAfterMs);
        return false;
    }
    ++ofPeer;
    ++this->inFlight;
    return true;
}

void HttpServer::Private::finished(const std::string &peer)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->inFlightOfPeer.find(peer);
    if (--found->second == 0)
        this->inFlightOfPeer.erase(found);
    if (--this->inFlight == 0)
        this->idle.notify_all();
}

void HttpServer::Private::serve(HttpRequest request, HttpReply reply)
{
    bool pathKnown = false;
    const Route *route = this->find(request.method, request.path, pathKnown);
    if (route == nullptr) {
        reply(pathKnown ? internal::httpRefusal(405, "invalid-argument",
                                                "method not allowed on this path")
                        : internal::httpRefusal(404, "not-found", "no such path"));
        return;
    }
    route->handler(std::move(request), std::move(reply));
}

void HttpServer::Private::closed(const std::shared_ptr<internal::HttpConnection> &connection)
{
    this->connections.erase(connection);
}

/// Closes \a connection to make room; false if it is null.
bool HttpServer::Private::reclaim(const std::shared_ptr<internal::HttpConnection> &connection,
                                  ReclaimReason reason)
{
    if (!connection)
        return false;
    connection->close();
    ++this->reclaimed[static_cast<std::size_t>(reason)];
    if (this->options.onReclaimed)
        this->options.onReclaimed(reason);
    return true;
}

bool HttpServer::Private::reclaimBytes(const internal::HttpConnection &requester)
{
    const Instant now = monotonicNow();
    return this->reclaim(this->waiting.firstUnfinished([&](const auto &connection) {
        return &connection != &requester && connection.isStalled(now);
    }),
                         ReclaimReason::Memory);
}

/// True if the budget has not sufficed since the last call, for this listener or anybody else.
bool HttpServer::Private::isMemoryShort()
{
    if (!this->options.budget)
        return false;
    const std::uint64_t shortages = this->options.budget->shortages();
    return std::exchange(this->lastShortages, shortages) != shortages;
}

void HttpServer::Private::accept()
{
    auto handler = [weak = this->weak_from_this()](boost::system::error_code error,
                                                   tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || !self->acceptor || error == asio::error::operation_aborted)
            return;
        const ScopeExit next([&self, error] {
            if (error)
                self->acceptLater();
            else
                self->accept();
        });
        const auto hasRoom = [&self] {
            return self->connections.size() < self->options.maxConnections
                || self->reclaim(self->waiting.first(), ReclaimReason::Connections);
        };
        if (!error && hasRoom()) {
            auto connection =
                std::make_shared<internal::HttpConnection>(std::move(socket), self, self->loop);
            self->connections.insert(connection);
            connection->start();
        } else if (!error) {
            ++self->rejectedConnections;
        }
    };
    this->acceptor->async_accept(std::move(handler));
}

/// Retries after a delay. When the process has no file descriptor left, the pending connection
/// stays in the backlog and accept fails again at once; without the delay this loop would use a
/// whole processor.
void HttpServer::Private::acceptLater()
{
    this->loop->runAfter(acceptRetryDelay, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->acceptor)
            self->accept();
    });
}

void HttpServer::Private::sweep()
{
    this->sweepTimer->expires_after(sweepInterval);
    this->sweepTimer->async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!self || error || !self->acceptor)
            return;
        const ScopeExit next([&self] { self->sweep(); });
        const Instant now = monotonicNow();
        const bool isMemoryShort = self->isMemoryShort();
        const auto all = self->connections;
        for (const auto &connection : all) {
            connection->closeIfExpired(now);
            if (isMemoryShort && connection->isStalled(now))
                self->reclaim(connection, ReclaimReason::Memory);
        }
    });
}

void HttpServer::Private::closeAll()
{
    boost::system::error_code ignored;
    if (this->acceptor)
        this->acceptor->close(ignored);
    this->acceptor.reset();
    this->sweepTimer.reset();
    const auto all = this->connections;
    for (const auto &connection : all)
        connection->close();
    this->connections.clear();
}

Error HttpServer::Private::listenError(const boost::system::error_code &error) const
{
    return failure(error == asio::error::address_in_use ? ErrorCode::InUse : ErrorCode::Unavailable,
                   "cannot listen for HTTP on " + this->options.address + ":"
                       + std::to_string(this->options.port) + ": " + error.message());
}

HttpServer::HttpServer(HttpServerOptions options)
    : d(std::make_shared<Private>())
{
    this->d->loop = options.loop ? options.loop : std::make_shared<IoLoop>();
    this->d->options = std::move(options);
}

/// Takes the loop out of Private before Private is released: handlers that are still queued on the
/// loop hold references to Private, and the loop must not be destroyed on its own thread.
HttpServer::~HttpServer()
{
    this->close();
    const std::shared_ptr<IoLoop> loop = std::move(this->d->loop);
    if (!this->d->options.loop)
        loop->stop();
    this->d.reset();
}

void HttpServer::route(const std::string &method, const std::string &pathPrefix,
                       HttpHandler handler)
{
    this->d->routes.push_back({method, pathPrefix, std::move(handler)});
}

Result<void> HttpServer::bind()
{
    const HttpServerOptions &options = this->d->options;
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(options.address, error);
    auto acceptor = std::make_unique<tcp::acceptor>(this->d->loop->context());
    if (!error)
        acceptor->open(ip.is_v4() ? tcp::v4() : tcp::v6(), error);
    if (!error)
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor->bind({ip, options.port}, error);
    if (error)
        return this->d->listenError(error);
    this->d->port = acceptor->local_endpoint(error).port();
    this->d->acceptor = std::move(acceptor);
    return boost::outcome_v2::success();
}

Result<void> HttpServer::start()
{
    if (!this->d->acceptor) {
        if (auto bound = this->bind(); !bound)
            return bound;
    }
    boost::system::error_code error;
    this->d->acceptor->listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        this->d->acceptor.reset();
        return this->d->listenError(error);
    }
    this->d->sweepTimer = std::make_unique<asio::steady_timer>(this->d->loop->context());
    this->d->loop->post([d = this->d] {
        if (!d->acceptor)
            return;
        d->accept();
        d->sweep();
    });
    return boost::outcome_v2::success();
}

std::uint16_t HttpServer::port() const
{
    return this->d->port;
}

void HttpServer::stopAccepting()
{
    this->d->accepting = false;
    this->d->closing = true;
}

void HttpServer::disableKeepAlive()
{
    this->d->closing = true;
}

std::size_t HttpServer::inFlight() const
{
    const std::lock_guard lock(this->d->mutex);
    return this->d->inFlight;
}

std::size_t HttpServer::connections() const
{
    return this->d->connections.size();
}

std::uint64_t HttpServer::rejectedConnections() const
{
    return this->d->rejectedConnections;
}

std::uint64_t HttpServer::reclaimedConnections(ReclaimReason reason) const
{
    return this->d->reclaimed[static_cast<std::size_t>(reason)];
}

bool HttpServer::waitUntilIdle(Instant deadline)
{
    std::unique_lock lock(this->d->mutex);
    return this->d->idle.wait_for(lock, untilDeadline(deadline),
                                  [this] { return this->d->inFlight == 0; });
}

void HttpServer::close()
{
    if (!this->d->acceptor)
        return;
    if (this->d->loop->isStopped()) { // a posted action would never run
        this->d->closeAll();
        return;
    }
    auto closePromise = std::make_shared<std::promise<void>>();
    auto done = closePromise->get_future();
    this->d->loop->post([d = this->d, closePromise]() mutable {
        d->closeAll();
        d.reset(); // before close() returns, whose caller must hold the last reference
        closePromise->set_value();
    });
    // The loop may be stopped before the action runs.
    constexpr std::chrono::seconds closeTimeout(5);
    done.wait_for(closeTimeout);
}

} // namespace guavavalve
