#include "replicas/tcphub.h"

#include "core/codec.h"
#include "core/scopeexit.h"
#include "replicas/errorpayload.h"
#include "replicas/exceptionguard.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <sodium.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <optional>
#include <utility>

namespace guavavalve::internal {

namespace asio = boost::asio;

namespace {

constexpr std::size_t minSecretBytes = 16;
constexpr Milliseconds acceptRetryDelay{50}; ///< after a connection could not be accepted

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (error || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return asio::ip::tcp::endpoint(ip, port);
}

} // namespace

/// A connection that was accepted from another instance.
struct TcpHub::Inbound
{
    std::shared_ptr<TcpConnection> connection;
    std::size_t pendingCalls = 0; ///< received and not yet answered
    std::atomic<bool> isAuthenticated{false};
};

/// The reply to a received call. If a handler throws or drops it, the caller must not wait for its
/// deadline, so the destructor of the last copy sends an error.
class TcpHub::Reply
{
public:
    Reply(std::weak_ptr<TcpHub> hub, std::weak_ptr<Inbound> item, std::uint64_t callId)
        : hub(std::move(hub))
        , item(std::move(item))
        , callId(callId)
    {}
    ~Reply()
    {
        Error dropped = failure(ErrorCode::Internal, "the call was dropped without an answer");
        dropped.ran = Ran::Unknown;
        this->send(std::move(dropped));
    }
    Reply(const Reply &) = delete;
    Reply &operator=(const Reply &) = delete;

    /// Sends the first outcome; ignores further ones. May be called from any thread and long after
    /// the connection was closed.
    void send(Result<std::string> outcome)
    {
        if (this->isSent.exchange(true))
            return;
        const auto alive = this->hub.lock();
        const auto open = this->item.lock();
        if (!alive || !open)
            return;
        WireFrame answer;
        answer.callId = this->callId;
        const std::size_t cap = alive->options->maxFrameBytes;
        if (outcome && outcome.value().size() + WireFrame::overheadBytes <= cap) {
            answer.kind = WireFrame::Kind::Reply;
            answer.payload = std::move(outcome).value();
        } else {
            answer.kind = WireFrame::Kind::ErrorReply;
            const Error tooLarge =
                failure(ErrorCode::Internal, "the reply exceeds the maximum frame size");
            answer.payload = encode(ErrorPayload{outcome ? tooLarge : outcome.error()});
        }
        asio::post(open->connection->executor(), [open, answer = std::move(answer)] {
            --open->pendingCalls;
            open->connection->send(answer);
        });
    }

private:
    std::weak_ptr<TcpHub> hub;
    std::weak_ptr<Inbound> item;
    std::uint64_t callId;
    std::atomic<bool> isSent{false};
};

TcpHub::TcpHub(MessengerOptions settings)
    : options(std::make_shared<const MessengerOptions>(std::move(settings)))
    , atomicCounters(std::make_shared<AtomicCounters>())
    , work(asio::make_work_guard(this->context))
    , acceptor(this->context)
    , acceptTimer(this->context)
{}

TcpHub::~TcpHub() = default;

Result<void> TcpHub::start()
{
    if (sodium_init() < 0)
        return failure(ErrorCode::Internal, "libsodium cannot be initialised");
    if (this->options->sharedSecret.size() < minSecretBytes) {
        return failure(ErrorCode::InvalidArgument, "the shared secret must have at least 16 bytes");
    }
    const auto endpoint = parseAddress(this->options->listenAddress);
    if (!endpoint) {
        return failure(ErrorCode::InvalidArgument,
                       "\"" + this->options->listenAddress + "\" is not of the form ip:port");
    }
    boost::system::error_code error;
    this->acceptor.open(endpoint->protocol(), error);
    if (!error)
        this->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        this->acceptor.bind(*endpoint, error);
    if (!error)
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        boost::system::error_code ignored;
        this->acceptor.close(ignored); // start() may be called again
        return failure(error == asio::error::address_in_use ? ErrorCode::InUse
                                                            : ErrorCode::Unavailable,
                       "cannot listen at " + this->options->listenAddress + ": " + error.message());
    }
    this->boundPort = this->acceptor.local_endpoint().port();
    {
        const std::lock_guard lock(this->mutex);
        this->isRunning = true;
    }
    this->accept();
    for (std::size_t i = 0; i < this->options->threads; ++i)
        this->threads.emplace_back([this] { this->run(); });
    return boost::outcome_v2::success();
}

/// One failed completion must not end the thread that serves all connections.
void TcpHub::run()
{
    while (!this->context.stopped())
        runGuarded(*this->options, *this->atomicCounters, [this] { this->context.run(); });
}

void TcpHub::stop()
{
    std::map<std::string, std::shared_ptr<TcpPeer>> ending;
    std::map<std::uint64_t, std::shared_ptr<Inbound>> leaving;
    {
        const std::lock_guard lock(this->mutex);
        if (!std::exchange(this->isRunning, false))
            return;
        ending.swap(this->peers);
        leaving.swap(this->inbound);
    }
    this->context.stop();
    for (std::thread &thread : this->threads)
        thread.join();
    this->threads.clear();
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto &[id, item] : leaving)
        item->connection->close();
    for (const auto &[address, peer] : ending)
        peer->stop();
}

void TcpHub::handle(Method method, Messenger::Handler handler)
{
    this->handlers[method] = std::move(handler);
}

void TcpHub::accept()
{
    this->acceptor.async_accept(asio::make_strand(this->context),
                                [this](boost::system::error_code error, Tcp::socket socket) {
                                    if (error == asio::error::operation_aborted)
                                        return;
                                    const ScopeExit next([this, error] {
                                        if (error)
                                            this->acceptLater();
                                        else
                                            this->accept();
                                    });
                                    if (error)
                                        ++this->atomicCounters->acceptFailures;
                                    else
                                        this->onAccepted(std::move(socket));
                                });
}

/// Guards against a loop that uses the whole processor: without descriptors, the connection stays
/// in the backlog and accepting it fails again at once.
void TcpHub::acceptLater()
{
    this->acceptTimer.expires_after(acceptRetryDelay);
    this->acceptTimer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->accept();
    });
}

/// True if another connection may be accepted. At the limit, closes the oldest one whose peer has
/// not authenticated itself. The mutex is locked.
///
/// Guards against strangers that keep the instances out: a peer authenticates itself within a round
/// trip, before its turn comes unless as many strangers arrive meanwhile as there are places.
bool TcpHub::ensureRoom()
{
    if (this->inbound.size() < this->options->maxInbound)
        return true;
    const auto found =
        std::find_if(this->inbound.begin(), this->inbound.end(),
                     [](const auto &entry) { return !entry.second->isAuthenticated; });
    if (found == this->inbound.end())
        return false;
    ++this->atomicCounters->connectionsRefused;
    const std::shared_ptr<Inbound> stranger = found->second;
    this->inbound.erase(found);
    asio::post(stranger->connection->executor(), [stranger] { stranger->connection->close(); });
    return true;
}

void TcpHub::onAccepted(Tcp::socket socket)
{
    auto item = std::make_shared<Inbound>();
    std::uint64_t id = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->isRunning || !this->ensureRoom()) {
            ++this->atomicCounters->connectionsRefused;
            return;
        }
        id = ++this->lastInbound;
    }
    TcpConnection::Hooks hooks;
    const std::weak_ptr<Inbound> weakItem = item;
    hooks.onFrame = [this, weakItem](WireFrame frame) {
        const auto served = weakItem.lock();
        if (served && frame.kind == WireFrame::Kind::Call)
            this->serve(served, std::move(frame));
    };
    hooks.onReady = [weakItem] {
        if (const auto authenticated = weakItem.lock())
            authenticated->isAuthenticated = true;
    };
    hooks.onClosed = [this, id](const std::vector<std::uint64_t> &) {
        const std::lock_guard lock(this->mutex);
        this->inbound.erase(id);
    };
    item->connection = std::make_shared<TcpConnection>(std::move(socket), false, this->options,
                                                       this->atomicCounters, std::move(hooks));
    {
        const std::lock_guard lock(this->mutex);
        if (!this->isRunning)
            return;
        this->inbound.emplace(id, item);
    }
    asio::post(item->connection->executor(), [item] { item->connection->start(); });
}

void TcpHub::serve(const std::shared_ptr<Inbound> &item, WireFrame frame)
{
    ++item->pendingCalls;
    const auto pending = std::make_shared<Reply>(this->weak_from_this(), item, frame.callId);
    Done<std::string> reply = [pending](Result<std::string> outcome) {
        pending->send(std::move(outcome));
    };
    const auto handler = this->handlers.find(static_cast<Method>(frame.method));
    if (item->pendingCalls > this->options->maxQueuedCalls) {
        ++this->atomicCounters->callsRefused;
        reply(failure(ErrorCode::Unavailable, "too many calls are pending on this connection"));
    } else if (handler == this->handlers.end()) {
        reply(failure(ErrorCode::NotFound, "this instance does not serve the requested method"));
    } else {
        runGuarded(*this->options, *this->atomicCounters, [&] {
            handler->second(item->connection->peer(), std::move(frame.payload), std::move(reply));
        });
    }
}

void TcpHub::call(const std::string &address, Method method, std::string payload, Instant deadline,
                  Done<std::string> done)
{
    if (payload.size() + WireFrame::overheadBytes > this->options->maxFrameBytes) {
        done(failure(ErrorCode::InvalidArgument, "the message exceeds the maximum frame size"));
        return;
    }
    const auto peer = this->peerAt(address);
    if (!peer) {
        done(failure(ErrorCode::Unavailable,
                     "no call to \"" + address
                         + "\": the messenger is not running or the address is not ip:port"));
        return;
    }
    asio::post(
        peer->executor(),
        [peer, method, payload = std::move(payload), deadline, done = std::move(done)]() mutable {
            peer->call(method, std::move(payload), deadline, std::move(done));
        });
}

std::optional<Instant> TcpHub::lastHeard(const std::string &address) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->peers.find(address);
    return found == this->peers.end() ? std::nullopt : found->second->lastHeard();
}

std::shared_ptr<TcpPeer> TcpHub::peerAt(const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    if (!this->isRunning)
        return nullptr;
    const auto found = this->peers.find(address);
    if (found != this->peers.end())
        return found->second;
    const auto endpoint = parseAddress(address);
    if (!endpoint)
        return nullptr;
    auto peer =
        std::make_shared<TcpPeer>(this->context, *endpoint, this->options, this->atomicCounters);
    this->peers.emplace(address, peer);
    return peer;
}

} // namespace guavavalve::internal
