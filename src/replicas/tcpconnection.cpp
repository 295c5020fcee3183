#include "replicas/tcpconnection.h"

#include "core/codec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxWriteBytes = 256U << 10U; ///< of frames combined into one write
/// Bounds what a peer can make this side allocate before it has authenticated itself.
constexpr std::uint32_t maxFirstFrameBytes = 256;

} // namespace

TcpConnection::TcpConnection(Socket connected, bool isCaller,
                             std::shared_ptr<const MessengerOptions> settings,
                             std::shared_ptr<AtomicCounters> sharedCounters, Hooks connectionHooks)
    : socket(std::move(connected))
    , timer(this->socket.get_executor())
    , options(std::move(settings))
    , counters(std::move(sharedCounters))
    , hooks(std::move(connectionHooks))
    , session(this->options->clusterId, this->options->instance, this->options->sharedSecret,
              isCaller)
    , lastHeard(monotonicNow())
    , startedAt(monotonicNow())
{}

void TcpConnection::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->enqueue(this->session.hello(), 0);
    this->readHello();
    this->scheduleHeartbeat();
}

void TcpConnection::readHello()
{
    auto handler = [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || !self->isOpen)
            return self->close();
        const std::uint32_t length = self->readingLength;
        if (length > SecureSession::maxHelloBytes) {
            ++self->counters->badHandshakes;
            return self->close();
        }
        self->reading.resize(length);
        asio::async_read(self->socket, asio::buffer(self->reading),
                         [self](boost::system::error_code failed, std::size_t) {
                             if (failed || !self->isOpen)
                                 return self->close();
                             self->onHello(self->reading);
                         });
    };
    asio::async_read(this->socket, asio::buffer(&this->readingLength, sizeof(this->readingLength)),
                     std::move(handler));
}

void TcpConnection::onHello(const std::string &hello)
{
    if (auto accepted = this->session.accept(hello); !accepted) {
        ++this->counters->badHandshakes;
        this->close();
        return;
    }
    this->hasKeys = true;
    this->send({}); // a heartbeat: proves to the peer that this side knows the shared secret
    this->readFrame();
}

std::uint32_t TcpConnection::maxFrameLength() const
{
    const auto cap = static_cast<std::uint32_t>(this->options->maxFrameBytes);
    return this->isReady ? cap + static_cast<std::uint32_t>(SecureSession::tagBytes)
                         : maxFirstFrameBytes;
}

void TcpConnection::readFrame()
{
    auto handler = [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || !self->isOpen)
            return self->close();
        // A peer must not make this side allocate whatever length it declares. Frame boundaries are
        // lost after such a frame, so this connection is closed; no other is affected.
        if (self->readingLength > self->maxFrameLength()) {
            ++self->counters->oversizedFrames;
            return self->close();
        }
        self->readBody(self->readingLength);
    };
    asio::async_read(this->socket, asio::buffer(&this->readingLength, sizeof(this->readingLength)),
                     std::move(handler));
}

void TcpConnection::readBody(std::uint32_t length)
{
    this->reading.resize(length);
    auto handler = [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || !self->isOpen)
            return self->close();
        self->counters->bytesReceived += self->reading.size() + SecureSession::lengthBytes;
        self->onSealed(self->reading);
    };
    asio::async_read(this->socket, asio::buffer(this->reading), std::move(handler));
}

void TcpConnection::onSealed(const std::string &sealed)
{
    const auto plain = this->session.open(sealed);
    if (!plain) {
        ++this->counters->unauthenticatedFrames;
        this->close();
        return;
    }
    this->lastHeard = monotonicNow();
    ++this->counters->framesReceived;
    if (this->hooks.onHeard)
        this->hooks.onHeard(this->lastHeard);
    const bool isFirst = !std::exchange(this->isReady, true);
    if (isFirst && this->hooks.onReady)
        this->hooks.onReady();
    auto frame = decode<WireFrame>(*plain);
    if (!frame)
        ++this->counters->malformedFrames;
    else if (frame.value().kind != WireFrame::Kind::Heartbeat)
        this->hooks.onFrame(std::move(frame).value());
    if (this->isOpen)
        this->readFrame();
}

bool TcpConnection::send(const WireFrame &frame)
{
    if (!this->isOpen || !this->hasKeys)
        return false;
    const std::string plain = encode(frame);
    if (this->queuedBytes + plain.size() > this->options->maxQueuedBytes)
        return false;
    const bool isCall = frame.kind == WireFrame::Kind::Call;
    this->enqueue(this->session.seal(plain), isCall ? frame.callId : 0);
    ++this->counters->framesSent;
    return true;
}

void TcpConnection::enqueue(std::string bytes, std::uint64_t callId)
{
    this->queuedBytes += bytes.size();
    this->queue.push_back({std::move(bytes), callId});
    if (this->writing.empty())
        this->writeNext();
}

void TcpConnection::writeNext()
{
    while (!this->queue.empty()
           && (this->writing.empty()
               || this->writing.size() + this->queue.front().bytes.size() <= maxWriteBytes)) {
        this->writing += this->queue.front().bytes;
        this->queue.pop_front();
    }
    if (this->writing.empty())
        return;
    auto handler = [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
        if (error || !self->isOpen)
            return self->close();
        self->counters->bytesSent += self->writing.size();
        self->queuedBytes -= self->writing.size();
        self->writing.clear();
        self->writeNext();
    };
    asio::async_write(this->socket, asio::buffer(this->writing), std::move(handler));
}

/// Sends the next heartbeat when it is due, and closes a connection on which nothing arrives.
///
/// Guards against a connection whose state was lost by a device between the two ends: writes still
/// succeed but nothing ever comes back, while new connections work. Every connection
/// carries heartbeats in both directions, so one that is idle beyond the timeout is dead.
void TcpConnection::scheduleHeartbeat()
{
    this->timer.expires_after(this->options->heartbeat);
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (error || !self->isOpen)
            return;
        const Instant now = monotonicNow();
        const bool hasHandshakeTimedOut =
            !self->isReady && now > self->startedAt + self->options->connectTimeout;
        const bool isIdle = self->isReady && now > self->lastHeard + self->options->idleTimeout;
        if (hasHandshakeTimedOut)
            ++self->counters->badHandshakes;
        if (isIdle)
            ++self->counters->connectionsReplaced;
        if (hasHandshakeTimedOut || isIdle)
            return self->close();
        if (self->hasKeys)
            self->send({});
        self->scheduleHeartbeat();
    });
}

void TcpConnection::close()
{
    if (!std::exchange(this->isOpen, false))
        return;
    boost::system::error_code ignored;
    this->timer.cancel();
    this->socket.close(ignored);
    std::vector<std::uint64_t> unsent;
    for (const Queued &queued : this->queue) {
        if (queued.callId != 0)
            unsent.push_back(queued.callId);
    }
    this->queue.clear();
    auto closing = std::exchange(this->hooks, {});
    if (closing.onClosed)
        closing.onClosed(unsent);
}

} // namespace guavavalve::internal
