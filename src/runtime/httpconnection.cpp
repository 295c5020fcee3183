#include "runtime/httpconnection.h"

#include "runtime/httperror.h"
#include "runtime/ioloop.h"
#include "runtime/uritext.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace guavavalve::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

bool decodeQuery(std::string_view query, std::map<std::string, std::string> &decoded)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        const auto name = percentDecoded(pair.substr(0, equals));
        const auto value = percentDecoded(
            equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
        if (!name || !value)
            return false;
        decoded[*name] = *value;
    }
    return true;
}

/// Decodes path and query of a request target.
bool decodeTarget(std::string_view target, HttpRequest &request)
{
    const std::size_t question = target.find('?');
    auto path = percentDecoded(target.substr(0, question));
    if (!path)
        return false;
    request.path = path->empty() ? "/" : std::move(*path);
    return question == std::string_view::npos
        || decodeQuery(target.substr(question + 1), request.query);
}

/// The authority of a request target in absolute form, without its user information, which is taken
/// off \a target together with the scheme; none for a target in another form.
std::optional<std::string_view> takeAuthority(std::string_view &target)
{
    constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};
    for (const std::string_view scheme : schemes) {
        const std::string begin(target.substr(0, scheme.size()));
        if (!boost::beast::iequals(begin, std::string(scheme)))
            continue;
        target.remove_prefix(scheme.size());
        std::string_view authority = target.substr(0, target.find_first_of("/?"));
        target.remove_prefix(authority.size());
        authority.remove_prefix(authority.rfind('@') + 1); // npos + 1 is 0
        return authority;
    }
    return std::nullopt;
}

} // namespace

/// A body is copied on its way: into the request, into the call that is relayed, and into the frame
/// that carries it.
constexpr std::size_t copiesOfBody = 4;
/// The headers of most requests fit.
constexpr std::size_t uncountedInputBytes = std::size_t{4} << 10U;
/// The fields of most requests fit.
constexpr std::size_t uncountedFieldBytes = std::size_t{8} << 10U;
/// Within this time a lost packet has been sent again.
constexpr Milliseconds pauseLimit{1000};
/// An eighth of the slowest link of an instance, 2 Mbit/s.
constexpr std::size_t soundBytesPerMs = 32;
/// Large requests are over within a second.
constexpr int bytesRetryAfterMs = 1000;

HttpResponse httpRefusal(int status, std::string_view error, std::string_view message,
                         int retryAfterMs)
{
    HttpResponse response;
    response.status = status;
    response.body = R"({"error":")" + std::string(error) + R"(","message":")" + std::string(message)
        + R"(","ran":"no","retryAfterMs":)" + std::to_string(retryAfterMs) + "}";
    setRetryAfter(response, retryAfterMs);
    return response;
}

/// The reply that is passed to a handler. If the handler drops it without a call, neither the
/// caller nor a shutdown may wait indefinitely, so the destructor of the last copy sends an error.
class HttpConnection::Reply
{
public:
    Reply(std::shared_ptr<HttpConnection> connection, std::weak_ptr<IoLoop> loop)
        : connection(std::move(connection))
        , loop(std::move(loop))
    {}
    ~Reply()
    {
        this->send(httpRefusal(500, "internal", "the request was dropped without a response"));
    }
    Reply(const Reply &) = delete;
    Reply &operator=(const Reply &) = delete;

    void send(HttpResponse response)
    {
        if (this->replied.exchange(true))
            return;
        const auto running = this->loop.lock();
        if (!running)
            return;
        running->dispatch(
            [connection = this->connection, response = std::move(response)]() mutable {
                connection->answer(std::move(response));
            });
    }

private:
    std::shared_ptr<HttpConnection> connection;
    std::weak_ptr<IoLoop> loop;
    std::atomic<bool> replied{false};
};

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<HttpConnectionOwner> owner,
                               std::weak_ptr<IoLoop> loop)
    : socket(std::move(socket))
    , owner(std::move(owner))
    , loop(std::move(loop))
    , input(this->owner->options.maxHeaderBytes)
{
    boost::system::error_code ignored;
    const auto endpoint = this->socket.remote_endpoint(ignored);
    this->peer = endpoint.address().to_string();
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpConnection::start()
{
    this->sentNotBefore = this->inputNotBefore();
    this->receivedNotBefore = this->sentNotBefore;
    this->owner->waiting.addUnfinished(this->shared_from_this(), this->place);
    this->readRequest();
}

Instant HttpConnection::inputNotBefore() const
{
    const auto running = this->loop.lock();
    return running ? running->inputNotBefore() : Instant{};
}

void HttpConnection::readRequest()
{
    const HttpServerOptions &options = this->owner->options;
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(options.maxHeaderBytes));
    this->parser->body_limit(options.maxBodyBytes);
    this->input.beginMessage();
    this->hasBegunRequest = !this->input.isEmpty();
    this->requestBegan = monotonicNow();
    this->requestInput = 0;
    this->deadline =
        this->requestBegan + (this->hasBegunRequest ? options.headerTimeout : options.idleTimeout);
    this->parseInput();
}

void HttpConnection::readMore()
{
    const asio::mutable_buffer space = this->input.space();
    if (!this->takeInputBytes()) {
        this->refuseForBytes();
        return;
    }
    this->socket.async_read_some(
        space,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
            self->onInput(error, bytes);
        });
}

void HttpConnection::onInput(boost::system::error_code error, std::size_t bytes)
{
    if (!this->isOpen)
        return;
    this->input.received(bytes);
    this->requestInput += bytes;
    if (bytes > 0 && !std::exchange(this->hasBegunRequest, true)) {
        this->requestBegan = monotonicNow();
        this->receivedNotBefore = std::max(this->sentNotBefore, this->inputNotBefore());
        this->deadline = this->requestBegan + this->owner->options.headerTimeout;
        this->owner->waiting.addUnfinished(this->shared_from_this(), this->place);
    }
    if (error == asio::error::eof)
        error = HttpInput::finish(*this->parser);
    if (error)
        this->handleReadError(error);
    else
        this->parseInput();
}

void HttpConnection::parseInput()
{
    const bool wasHeader = !this->parser->is_header_done();
    const boost::system::error_code error = this->input.parse(*this->parser);
    if (error == http::error::bad_method && this->skipEmptyLine())
        this->readRequest();
    else if (error)
        this->handleReadError(error);
    else if (!this->takeFieldBytes() || !this->takeInputBytes())
        this->refuseForBytes();
    else if (this->parser->is_done())
        this->onRequest();
    else if (wasHeader && this->parser->is_header_done())
        this->onHeader();
    else if (this->takeBytes(this->parser->get().body().size()))
        this->readMore();
    else
        this->refuseForBytes();
}

void HttpConnection::onHeader()
{
    this->deadline = monotonicNow() + this->owner->options.transferTimeout;
    // The length of a chunked body is known as it arrives.
    if (!this->takeBytes(static_cast<std::size_t>(this->parser->content_length().value_or(0)))) {
        this->refuseForBytes();
        return;
    }
    if (!boost::beast::iequals(this->parser->get()[http::field::expect], "100-continue")) {
        this->readBody();
        return;
    }
    // The caller waits for this response before it sends its body (RFC 9110, section 10.1.1).
    auto continueResponse =
        std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
    http::async_write(this->socket, *continueResponse,
                      [self = this->shared_from_this(),
                       continueResponse](boost::system::error_code failed, std::size_t) {
                          if (!self->isOpen)
                              return;
                          if (failed)
                              return self->close();
                          self->readBody();
                      });
}

void HttpConnection::readBody()
{
    this->parser->eager(true);
    this->parseInput();
}

/// Takes the memory of a body of \a bodyBytes, in steps that are few for a body of unknown length.
bool HttpConnection::takeBytes(std::size_t bodyBytes)
{
    if (!this->owner->options.budget || bodyBytes <= this->takenBytes)
        return true;
    const std::size_t step = this->takenBytes == 0
        ? bodyBytes
        : std::max(bodyBytes, 2 * this->takenBytes) - this->takenBytes;
    if (!this->takeShare(step * copiesOfBody))
        return false;
    this->takenBytes += step;
    return true;
}

/// Takes the memory of a read buffer that has grown.
bool HttpConnection::takeInputBytes()
{
    const std::size_t capacity = this->input.capacity();
    if (!this->owner->options.budget
        || capacity <= std::max(this->takenInputBytes, uncountedInputBytes))
        return true;
    if (!this->takeShare(capacity - this->takenInputBytes))
        return false;
    this->takenInputBytes = capacity;
    return true;
}

/// Takes the memory of the fields, in steps that are few for a header that arrives slowly.
bool HttpConnection::takeFieldBytes()
{
    const std::size_t needed = this->input.fieldBytes(*this->parser);
    if (!this->owner->options.budget
        || needed <= std::max(this->takenFieldBytes, uncountedFieldBytes))
        return true;
    const std::size_t step = std::max(needed, 2 * this->takenFieldBytes) - this->takenFieldBytes;
    if (!this->takeShare(step))
        return false;
    this->takenFieldBytes += step;
    return true;
}

bool HttpConnection::takeShare(std::size_t shareBytes)
{
    ByteBudget &budget = *this->owner->options.budget;
    auto share = budget.take(shareBytes);
    while (!share && budget.canHold(shareBytes) && this->owner->reclaimBytes(*this))
        share = budget.take(shareBytes);
    if (!share)
        return false;
    this->bytes.push_back(std::move(*share));
    return true;
}

void HttpConnection::refuseForBytes()
{
    this->releaseBytes(); // so that it is not closed before the answer is written
    this->answer(httpRefusal(503, "limit-exceeded", "the requests in progress take too much memory",
                             bytesRetryAfterMs));
}

/// Some clients end a body with an empty line, which is not part of it (RFC 9112, section 2.2).
/// Only one is skipped, so that empty lines cannot keep a connection open.
bool HttpConnection::skipEmptyLine()
{
    const auto bytes = this->input.pending();
    const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
    if (text.substr(0, 2) != "\r\n" || std::exchange(this->hasSkippedLine, true))
        return false;
    this->input.skip(2);
    return true;
}

void HttpConnection::onRequest()
{
    this->owner->waiting.remove(this->place);
    this->deadline = Instant::max(); // handlers have no time limit here
    HttpResponse refused;
    this->isAdmitted = this->owner->admit(this->peer, refused);
    if (!this->isAdmitted) {
        this->answer(std::move(refused));
        return;
    }
    auto request = this->parsedRequest();
    if (!request) {
        this->answer(httpRefusal(400, "invalid-argument", request.error().message));
        return;
    }
    auto pending = std::make_shared<Reply>(this->shared_from_this(), this->loop);
    auto reply = [pending](HttpResponse response) { pending->send(std::move(response)); };
    try {
        this->owner->serve(std::move(request).value(), reply);
    } catch (const std::exception &) {
        pending->send(httpRefusal(500, "internal", "the request could not be handled"));
    }
}

Result<HttpRequest> HttpConnection::parsedRequest() const
{
    const auto &parsed = this->parser->get();
    if (parsed.count(http::field::host) > 1)
        return failure(ErrorCode::InvalidArgument, "the request has several \"Host\" headers");
    std::string_view target(parsed.target().data(), parsed.target().size());
    const auto authority = takeAuthority(target);
    HttpRequest request;
    if ((authority && authority->empty()) || !decodeTarget(target, request))
        return failure(ErrorCode::InvalidArgument, "the URI of the request is malformed");
    request.method.assign(parsed.method_string().data(), parsed.method_string().size());
    for (const auto &field : parsed) {
        request.headers.emplace(std::string(field.name_string().data(), field.name_string().size()),
                                std::string(field.value().data(), field.value().size()));
    }
    // The host of an absolute URI replaces the one of the header (RFC 9112, section 3.2.2).
    if (authority)
        request.headers["Host"] = std::string(*authority);
    request.body = parsed.body();
    request.remoteAddress = this->peer;
    request.receivedNotBefore = this->receivedNotBefore;
    request.sentNotBefore = this->sentNotBefore;
    return request;
}

/// Sends an error response if the request exceeds a limit or is not valid HTTP, and closes the
/// connection after it. If the peer has closed the connection, no one is left to receive one.
void HttpConnection::handleReadError(boost::system::error_code error)
{
    const HttpServerOptions &options = this->owner->options;
    if (error == http::error::body_limit) {
        this->answer(
            httpRefusal(413, "invalid-argument",
                        "the body is over " + std::to_string(options.maxBodyBytes) + " bytes"));
    } else if (error == http::error::header_limit) {
        this->answer(httpRefusal(431, "invalid-argument",
                                 "the headers, or the framing of the body, are over "
                                     + std::to_string(options.maxHeaderBytes) + " bytes"));
    } else if (error.category() == http::make_error_code(http::error::bad_method).category()
               && error != http::error::end_of_stream && error != http::error::partial_message) {
        this->answer(httpRefusal(400, "invalid-argument", "not a valid HTTP request"));
    } else {
        this->close();
    }
}

void HttpConnection::answer(HttpResponse response)
{
    if (!this->isOpen) {
        this->releaseBytes();
        if (std::exchange(this->isAdmitted, false))
            this->owner->finished(this->peer);
        return;
    }
    const bool isFullyRead = this->parser->is_done();
    this->message = {};
    this->message.version(11);
    this->message.result(static_cast<unsigned>(response.status));
    for (const auto &[name, value] : response.headers)
        this->message.set(name, value);
    this->message.set(http::field::content_type, response.contentType);
    this->message.keep_alive(isFullyRead && this->parser->keep_alive() && !this->owner->closing);
    this->message.body() = std::move(response.body);
    this->message.prepare_payload();
    if (this->parser->get().method() == http::verb::head)
        this->message.body().clear(); // the header still says how long it would be
    this->hasSkippedLine = false;
    // Before the response is written: the client may have it long before this process runs again.
    this->answeredAt = monotonicNow();
    this->deadline = this->answeredAt + this->owner->options.transferTimeout;
    http::async_write(this->socket, this->message,
                      [self = this->shared_from_this()](boost::system::error_code error,
                                                        std::size_t) { self->onAnswered(error); });
}

void HttpConnection::releaseBytes()
{
    this->bytes.clear();
    this->takenBytes = 0;
    this->takenInputBytes = 0;
    this->takenFieldBytes = 0;
}

void HttpConnection::onAnswered(boost::system::error_code error)
{
    this->releaseBytes();
    if (std::exchange(this->isAdmitted, false))
        this->owner->finished(this->peer);
    if (!this->isOpen)
        return;
    std::string().swap(this->message.body()); // an idle connection may stay open for long
    if (error) {
        this->close();
    } else if (this->message.keep_alive()) {
        if (this->input.isEmpty()) {
            this->owner->waiting.addIdle(this->shared_from_this(), this->place);
            this->sentNotBefore = this->answeredAt; // clients wait for a response before they go on
        } else {
            this->owner->waiting.addUnfinished(this->shared_from_this(), this->place);
        }
        this->readRequest();
    } else {
        this->owner->waiting.addUnfinished(this->shared_from_this(), this->place);
        this->parser.reset(); // the peer may stay
        this->input.discard();
        this->discardInput();
    }
}

/// Reads and discards what the caller still sends before the connection is closed: closing a socket
/// with unread bytes resets the connection, and the caller may see the reset before the response.
void HttpConnection::discardInput()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->socket.async_read_some(
        asio::buffer(this->discarded),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
            if (!self->isOpen)
                return;
            if (error)
                self->close();
            else
                self->discardInput();
        });
}

bool HttpConnection::isStalled(Instant now) const
{
    const Milliseconds soundTime(static_cast<std::int64_t>(this->requestInput / soundBytesPerMs));
    const bool isArriving = this->place.list != nullptr;
    return isArriving && !this->bytes.empty() && now > this->requestBegan + pauseLimit + soundTime;
}

void HttpConnection::closeIfExpired(Instant now)
{
    if (now > this->deadline)
        this->close();
}

void HttpConnection::close()
{
    if (!std::exchange(this->isOpen, false))
        return;
    if (!this->isAdmitted) // a handler may still work on an admitted request
        this->releaseBytes();
    this->owner->waiting.remove(this->place);
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->owner->closed(this->shared_from_this());
}

} // namespace guavavalve::internal
