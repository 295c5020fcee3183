#include "replicas/tcppeer.h"

#include "core/codec.h"
#include "replicas/errorpayload.h"
#include "replicas/exceptionguard.h"

#include <boost/asio/bind_executor.hpp>

#include <algorithm>
#include <utility>

namespace guavavalve::internal {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds sweepInterval{20};

Error unavailable(std::string message, Ran ran)
{
    Error error = failure(ErrorCode::Unavailable, std::move(message));
    error.ran = ran;
    return error;
}

} // namespace

TcpPeer::TcpPeer(asio::io_context &context, asio::ip::tcp::endpoint address,
                 std::shared_ptr<const MessengerOptions> settings,
                 std::shared_ptr<AtomicCounters> sharedCounters)
    : strand(asio::make_strand(context))
    , endpoint(std::move(address))
    , options(std::move(settings))
    , counters(std::move(sharedCounters))
    , sweepTimer(this->strand)
    , connectTimer(this->strand)
    , backoff(this->options->backoffMin)
{}

void TcpPeer::call(Method method, std::string payload, Instant deadline, Done<std::string> done)
{
    if (this->isStopped) {
        done(unavailable("the messenger has stopped", Ran::No));
        return;
    }
    if (!this->connection && !this->connecting && monotonicNow() < this->retryAt) {
        done(unavailable(
            "the instance could not be reached; waiting before the next connection attempt",
            Ran::No));
        return;
    }
    const bool isFull = this->calls.size() >= this->options->maxQueuedCalls
        || this->unsentBytes + payload.size() > this->options->maxQueuedBytes;
    if (isFull) {
        ++this->counters->callsRefused;
        done(unavailable("too many calls to the instance are pending", Ran::No));
        return;
    }
    const std::uint64_t id = ++this->lastCallId;
    PendingCall pending;
    pending.frame.kind = WireFrame::Kind::Call;
    pending.frame.callId = id;
    pending.frame.method = static_cast<std::uint16_t>(method);
    pending.frame.payload = std::move(payload);
    pending.deadline = deadline;
    pending.done = std::move(done);
    this->unsentBytes += pending.frame.payload.size();
    this->deadlines.emplace(deadline, id);
    auto &added = this->calls.emplace(id, std::move(pending)).first->second;
    this->scheduleSweep();
    if (this->isReady)
        this->sendCall(id, added);
    else if (!this->connection && !this->connecting)
        this->connect();
}

void TcpPeer::sendCall(std::uint64_t id, PendingCall &pending)
{
    if (!this->connection->send(pending.frame)) {
        ++this->counters->callsRefused;
        this->finish(id, unavailable("the send queue to the instance is full", Ran::No));
        return;
    }
    pending.isSent = true;
    this->unsentBytes -= pending.frame.payload.size();
    std::string().swap(pending.frame.payload);
}

void TcpPeer::connect()
{
    this->connecting = std::make_unique<TcpConnection::Socket>(this->strand);
    this->connectTimer.expires_after(this->options->connectTimeout);
    this->connectTimer.async_wait([self = this->shared_from_this()](auto error) {
        boost::system::error_code ignored;
        if (!error && self->connecting)
            self->connecting->close(ignored);
    });
    this->connecting->async_connect(
        this->endpoint, [self = this->shared_from_this()](boost::system::error_code error) {
            self->onConnected(error);
        });
}

void TcpPeer::onConnected(boost::system::error_code error)
{
    this->connectTimer.cancel();
    auto socket = std::exchange(this->connecting, nullptr);
    if (this->isStopped)
        return;
    if (error || !socket) {
        this->onConnectFailed();
        return;
    }
    ++this->counters->connectionsOpened;
    const std::weak_ptr<TcpPeer> weak = this->weak_from_this();
    TcpConnection::Hooks hooks;
    hooks.onReady = [weak] {
        if (const auto self = weak.lock())
            self->onReady();
    };
    hooks.onFrame = [weak](WireFrame frame) {
        if (const auto self = weak.lock())
            self->onFrame(std::move(frame));
    };
    hooks.onHeard = [weak](Instant now) {
        if (const auto self = weak.lock())
            self->heardAt = now.time_since_epoch().count();
    };
    hooks.onClosed = [weak](const std::vector<std::uint64_t> &unsent) {
        if (const auto self = weak.lock())
            self->onClosed(unsent);
    };
    this->connection = std::make_shared<TcpConnection>(std::move(*socket), true, this->options,
                                                       this->counters, std::move(hooks));
    this->connection->start();
}

void TcpPeer::onConnectFailed()
{
    this->retryAt = monotonicNow() + this->backoff;
    this->backoff = std::min(2 * this->backoff, this->options->backoffMax);
    std::vector<std::uint64_t> unsent;
    for (const auto &[id, pending] : this->calls)
        unsent.push_back(id);
    for (const std::uint64_t id : unsent)
        this->finish(id, unavailable("the instance cannot be reached", Ran::No));
}

void TcpPeer::onReady()
{
    this->isReady = true;
    this->backoff = this->options->backoffMin;
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : this->calls)
        waiting.push_back(id);
    for (const std::uint64_t id : waiting) {
        const auto found = this->calls.find(id);
        if (found != this->calls.end() && !found->second.isSent && this->connection)
            this->sendCall(id, found->second);
    }
}

void TcpPeer::onFrame(WireFrame frame)
{
    if (frame.kind == WireFrame::Kind::Reply) {
        this->finish(frame.callId, std::move(frame.payload));
    } else if (frame.kind == WireFrame::Kind::ErrorReply) {
        auto error = decode<ErrorPayload>(frame.payload);
        if (error)
            this->finish(frame.callId, std::move(error).value().error);
        else
            ++this->counters->malformedFrames;
    }
}

void TcpPeer::onClosed(const std::vector<std::uint64_t> &unsent)
{
    const bool wasReady = std::exchange(this->isReady, false);
    this->heardAt = 0;
    this->connection.reset();
    if (this->isStopped)
        return;
    if (!wasReady) {
        this->onConnectFailed();
        return;
    }
    std::vector<std::uint64_t> broken;
    for (const auto &[id, pending] : this->calls)
        broken.push_back(id);
    for (const std::uint64_t id : broken) {
        const bool wasSent = std::find(unsent.begin(), unsent.end(), id) == unsent.end();
        this->finish(id,
                     unavailable("the connection to the instance was lost",
                                 wasSent ? Ran::Unknown : Ran::No));
    }
}

std::optional<Instant> TcpPeer::lastHeard() const
{
    const std::int64_t heard = this->heardAt;
    return heard == 0 ? std::nullopt : std::optional(Instant(Microseconds(heard)));
}

void TcpPeer::finish(std::uint64_t id, Result<std::string> outcome)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return; // the reply came after the call's deadline
    PendingCall pending = std::move(found->second);
    this->calls.erase(found);
    this->deadlines.erase({pending.deadline, id});
    if (!pending.isSent)
        this->unsentBytes -= pending.frame.payload.size();
    runGuarded(*this->options, *this->counters, [&] { pending.done(std::move(outcome)); });
}

void TcpPeer::scheduleSweep()
{
    if (this->isSweeping || this->calls.empty())
        return;
    this->isSweeping = true;
    this->sweepTimer.expires_after(sweepInterval);
    this->sweepTimer.async_wait([self = this->shared_from_this()](auto error) {
        self->isSweeping = false;
        if (!error && !self->isStopped)
            self->sweep();
    });
}

void TcpPeer::sweep()
{
    const Instant now = monotonicNow();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const std::uint64_t id = this->deadlines.begin()->second;
        ++this->counters->callsTimedOut;
        Error error = failure(ErrorCode::DeadlineExceeded, "no reply before the deadline");
        const auto found = this->calls.find(id);
        error.ran = found != this->calls.end() && found->second.isSent ? Ran::Unknown : Ran::No;
        this->finish(id, std::move(error));
    }
    this->scheduleSweep();
}

void TcpPeer::stop()
{
    this->isStopped = true;
    if (this->connection)
        this->connection->close();
    this->connection.reset();
    std::map<std::uint64_t, PendingCall> ended;
    ended.swap(this->calls);
    this->deadlines.clear();
    for (auto &[id, pending] : ended) {
        runGuarded(*this->options, *this->counters, [&ended = pending] {
            ended.done(
                unavailable("the messenger has stopped", ended.isSent ? Ran::Unknown : Ran::No));
        });
    }
}

} // namespace guavavalve::internal
