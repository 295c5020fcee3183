#include "runtime/httpclientconnection.h"

#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <utility>

namespace guavavalve::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Responses of up to this size are received whatever the others take.
constexpr std::size_t uncountedBytes = std::size_t{16} << 10U;
/// A body grows by copying, and is decoded before it is freed.
constexpr std::size_t copiesOfBody = 2;
/// Of the responses of targets and services, which have a few short headers and no trailers.
constexpr std::uint32_t maxHeaderBytes = std::uint32_t{8} << 10U;

} // namespace

HttpClientConnection::HttpClientConnection(std::shared_ptr<HttpClientConnectionOwner> owner,
                                           const HttpClientOptions &options, IoLoop &loop,
                                           std::string peer, bool isForLongPolls)
    : owner(std::move(owner))
    , options(options)
    , address(std::move(peer))
    , forLongPolls(isForLongPolls)
    , socket(loop.context())
    , timer(loop.context())
    , input(maxHeaderBytes)
{}

void HttpClientConnection::start(HttpClient::Call call, Instant deadline,
                                 Done<HttpResponse> whenDone)
{
    this->done = std::move(whenDone);
    this->request = {};
    this->request.version(11);
    this->request.method_string(call.method);
    this->request.target(call.target);
    this->request.set(http::field::host, this->address);
    for (const auto &[name, value] : call.headers)
        this->request.set(name, value);
    if (!call.body.empty())
        this->request.set(http::field::content_type, "application/json");
    this->request.body() = std::move(call.body);
    this->request.prepare_payload();
    this->startDeadlineTimer(deadline);
    if (this->isConnected)
        this->write();
    else
        this->connect();
}

bool HttpClientConnection::isAlive()
{
    char byte = 0;
    const ssize_t got = recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpClientConnection::startDeadlineTimer(Instant deadline)
{
    this->deadline = deadline;
    this->timer.expires_after(untilDeadline(deadline));
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        // The handler of an expired timer may run after the response of its call has arrived and
        // the connection carries the next call, which has a deadline of its own.
        if (error || !self->done || monotonicNow() < self->deadline)
            return;
        self->fail(ErrorCode::DeadlineExceeded, "no response by the deadline");
    });
}

void HttpClientConnection::connect()
{
    const std::size_t colon = this->address.rfind(':');
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(this->address.substr(0, colon), error);
    const std::string port =
        colon == std::string::npos ? std::string() : this->address.substr(colon + 1);
    char *end = nullptr;
    const unsigned long number = std::strtoul(port.c_str(), &end, 10);
    if (error || port.empty() || *end != '\0' || number > UINT16_MAX) {
        this->fail(ErrorCode::InvalidArgument,
                   "not an address of the form ip:port: " + this->address);
        return;
    }
    this->socket.async_connect({ip, static_cast<std::uint16_t>(number)},
                               [self = this->shared_from_this()](boost::system::error_code failed) {
                                   self->onConnect(failed);
                               });
}

void HttpClientConnection::onConnect(boost::system::error_code error)
{
    if (!this->done)
        return;
    if (error) {
        const bool isOutOfDescriptors = error == asio::error::no_descriptors;
        this->fail(isOutOfDescriptors ? ErrorCode::LimitExceeded : ErrorCode::Unavailable,
                   "cannot connect: " + error.message());
        return;
    }
    this->isConnected = true;
    this->enableDeadPeerDetection();
    this->write();
}

/// Closes a connection whose peer is gone without a reset: bytes that are not acknowledged and
/// keep-alive probes that are not answered end it. Otherwise every call on it would wait until its
/// deadline.
void HttpClientConnection::enableDeadPeerDetection()
{
    const auto limit = static_cast<unsigned>(this->options.tcpUserTimeout.count());
    const int handle = this->socket.native_handle();
    const int probeSeconds = 1;
    const int probes = 3;
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof probeSeconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof probeSeconds);
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void HttpClientConnection::write()
{
    this->isSent = true;
    http::async_write(
        this->socket, this->request,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
            if (!self->done)
                return;
            if (error)
                self->fail(ErrorCode::Unavailable, "the connection broke: " + error.message());
            else
                self->readResponse();
        });
}

void HttpClientConnection::readResponse()
{
    this->parser.emplace();
    this->parser->header_limit(maxHeaderBytes);
    this->parser->body_limit(this->options.maxResponseBytes);
    this->input.beginMessage();
    this->readMore();
}

void HttpClientConnection::readMore()
{
    this->socket.async_read_some(
        this->input.space(),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
            self->onInput(error, bytes);
        });
}

void HttpClientConnection::onInput(boost::system::error_code error, std::size_t bytes)
{
    if (!this->done)
        return;
    this->input.received(bytes);
    if (error == asio::error::eof)
        error = HttpInput::finish(*this->parser);
    else if (!error)
        error = this->input.parse(*this->parser);
    if (!error && this->parser->is_header_done() && !this->parser->is_done()) {
        this->parser->eager(true);
        error = this->input.parse(*this->parser);
    }
    if (error)
        this->fail(ErrorCode::Unavailable, "the connection broke: " + error.message());
    else if (!this->takeBytes(this->parser->get().body().size()
                              + this->input.fieldBytes(*this->parser) / copiesOfBody))
        this->fail(ErrorCode::LimitExceeded, "the responses in progress take too much memory");
    else if (this->parser->is_done())
        this->succeed();
    else
        this->readMore();
}

/// Takes the memory of a response as it arrives: its declared length costs the peer nothing.
bool HttpClientConnection::takeBytes(std::size_t bodyBytes)
{
    if (!this->options.budget || bodyBytes <= std::max(this->takenBytes, uncountedBytes))
        return true;
    const std::size_t step = std::max(bodyBytes, 2 * this->takenBytes) - this->takenBytes;
    auto share = this->options.budget->take(step * copiesOfBody);
    if (!share)
        return false;
    this->bytes.push_back(std::move(*share));
    this->takenBytes += step;
    return true;
}

void HttpClientConnection::succeed()
{
    const auto held = std::exchange(this->bytes, {}); // until the response has been handled
    this->takenBytes = 0;
    auto message = this->parser->release();
    HttpResponse response;
    response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        response.headers.emplace(
            std::string(field.name_string().data(), field.name_string().size()),
            std::string(field.value().data(), field.value().size()));
    }
    response.body = std::move(message.body());
    this->timer.cancel();
    this->isSent = false;
    const Done<HttpResponse> callback = std::exchange(this->done, nullptr);
    if (message.keep_alive() && this->input.isEmpty()) { // what follows answers no call
        this->owner->completed(this->shared_from_this());
    } else {
        this->close();
        this->owner->closed(this->shared_from_this(), false);
    }
    callback(std::move(response));
}

void HttpClientConnection::fail(ErrorCode code, const std::string &message)
{
    Error error = failure(code, this->address + ": " + message);
    error.ran = this->isSent ? Ran::Unknown : Ran::No;
    this->timer.cancel();
    this->close();
    this->bytes.clear();
    const Done<HttpResponse> callback = std::exchange(this->done, nullptr);
    this->owner->closed(this->shared_from_this(), code == ErrorCode::DeadlineExceeded);
    callback(std::move(error));
}

void HttpClientConnection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->isConnected = false;
}

} // namespace guavavalve::internal
