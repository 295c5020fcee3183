#include "platform/httpserver.h"

#include "platform/httpcompletion.h"

#include <cpprest/http_listener.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

namespace guavavalve {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::http::experimental::listener::http_listener;

constexpr std::size_t maxHeaderBytes = 32U << 10U;
constexpr std::size_t bodyChunkBytes = 16U << 10U;
constexpr int freePortTries = 16;

struct Route
{
    std::string method;
    std::string prefix;
    HttpHandler handler;
};

std::string refusalBody(std::string_view error, std::string_view message, int retryAfterMs)
{
    return R"({"error":")" + std::string(error) + R"(","message":")" + std::string(message)
        + R"(","ran":"no","retryAfterMs":)" + std::to_string(retryAfterMs) + "}";
}

HttpResponse refusal(int status, std::string_view error, std::string_view message,
                     int retryAfterMs = 0)
{
    HttpResponse response;
    response.status = status;
    response.body = refusalBody(error, message, retryAfterMs);
    if (retryAfterMs > 0)
        response.headers["Retry-After"] = std::to_string((retryAfterMs + 999) / 1000);
    return response;
}

bool covers(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

std::size_t headerBytes(const http_request &request)
{
    std::size_t bytes = request.request_uri().to_string().size();
    for (const auto &[name, value] : request.headers())
        bytes += name.size() + value.size();
    return bytes;
}

/// A free port of \a address, or 0. Another process may take it before we bind it again, so the
/// caller tries more than once: cpprestsdk cannot tell which port it bound for port 0.
std::uint16_t freePort(const std::string &address)
{
    boost::system::error_code error;
    boost::asio::io_context context;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error)
        return 0;
    boost::asio::ip::tcp::acceptor acceptor(context);
    const boost::asio::ip::tcp::endpoint wanted(ip, 0);
    acceptor.open(wanted.protocol(), error);
    if (!error)
        acceptor.bind(wanted, error);
    if (error)
        return 0;
    return acceptor.local_endpoint(error).port();
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

struct HttpServer::Private : std::enable_shared_from_this<HttpServer::Private>
{
    /// One request from its headers to the last byte of its answer.
    class Exchange;

    HttpServerOptions options;
    std::vector<Route> routes;
    std::unique_ptr<http_listener> listener;
    std::uint16_t port = 0;
    std::atomic<bool> accepting{true};

    mutable std::mutex mutex;
    std::condition_variable idle;
    std::size_t inFlight = 0;
    std::map<std::string, std::size_t> inFlightOfPeer;

    const Route *find(const std::string &method, const std::string &path, bool &pathKnown) const;
    bool admit(const std::string &peer, HttpResponse &refused);
    void finished(const std::string &peer);
    void receive(const http_request &request);
    bool open(std::uint16_t wanted);
};

class HttpServer::Private::Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<Private> owner, const http_request &incoming)
        : server(std::move(owner))
        , request(incoming)
        , peer(this->request.remote_address())
    {}

    /// A handler that lost its reply must not leave the caller and the shutdown waiting.
    ~Exchange()
    {
        if (!this->replied.exchange(true))
            this->send(refusal(500, "internal", "the request was dropped"));
    }

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void start()
    {
        HttpResponse refused;
        this->counted = this->server->admit(this->peer, refused);
        if (!this->counted) {
            this->refuse(std::move(refused));
            return;
        }
        if (headerBytes(this->request) > maxHeaderBytes) {
            this->refuse(refusal(431, "invalid-argument", "the headers are over 32768 bytes"));
            return;
        }
        this->readBody();
    }

    void reply(const HttpResponse &response)
    {
        if (!this->replied.exchange(true))
            this->send(response);
    }

private:
    /// Refuses, and lets what is left of the body run through without keeping it: cpprestsdk
    /// sends no answer before it has read the whole request.
    void refuse(HttpResponse response)
    {
        response.headers["Connection"] = "close";
        this->discarding = true;
        this->body.clear();
        this->body.shrink_to_fit();
        this->reply(response);
        this->readBody();
    }

    void readBody()
    {
        auto self = this->shared_from_this();
        auto source = this->request.body().streambuf();
        source.getn(this->chunk.data(), this->chunk.size())
            .then([self](const pplx::task<std::size_t> &read) { self->bodyRead(read); });
    }

    void bodyRead(const pplx::task<std::size_t> &read)
    {
        std::size_t bytes = 0;
        try {
            bytes = read.get();
        } catch (const std::exception &) {
            // The caller went away in the middle of its body: nobody is left to be answered.
            this->reply(refusal(400, "invalid-argument", "the body broke off"));
            return;
        }
        if (bytes == 0) {
            if (!this->discarding)
                this->serve();
            return;
        }
        if (!this->discarding) {
            if (this->body.size() + bytes > this->server->options.maxBodyBytes) {
                this->refuse(refusal(413, "invalid-argument",
                                     "the body is over "
                                         + std::to_string(this->server->options.maxBodyBytes)
                                         + " bytes"));
                return;
            }
            this->body.append(reinterpret_cast<const char *>(this->chunk.data()), bytes);
        }
        this->readBody();
    }

    void serve()
    {
        HttpRequest parsed;
        if (!this->parse(parsed)) {
            this->reply(refusal(400, "invalid-argument", "the request's URI is malformed"));
            return;
        }
        bool pathKnown = false;
        const Route *route = this->server->find(parsed.method, parsed.path, pathKnown);
        if (route == nullptr) {
            this->reply(pathKnown ? refusal(405, "invalid-argument", "no such method on this path")
                                  : refusal(404, "not-found", "no such path"));
            return;
        }
        auto self = this->shared_from_this();
        try {
            route->handler(std::move(parsed),
                           [self](const HttpResponse &response) { self->reply(response); });
        } catch (const std::exception &) {
            this->reply(refusal(500, "internal", "the request could not be handled"));
        }
    }

    bool parse(HttpRequest &parsed)
    {
        try {
            const web::uri uri = this->request.relative_uri();
            parsed.method = this->request.method();
            parsed.path = web::uri::decode(uri.path());
            for (const auto &[name, value] : web::uri::split_query(uri.query()))
                parsed.query[web::uri::decode(name)] = web::uri::decode(value);
        } catch (const std::exception &) {
            return false;
        }
        for (const auto &[name, value] : this->request.headers())
            parsed.headers[name] = value;
        parsed.body = std::move(this->body);
        parsed.remoteAddress = this->peer;
        return true;
    }

    void send(const HttpResponse &response)
    {
        http_response message(static_cast<web::http::status_code>(response.status));
        for (const auto &[name, value] : response.headers)
            message.headers().add(name, value);
        if (!this->server->accepting)
            message.headers()["Connection"] = "close";
        message.set_body(std::vector<unsigned char>(response.body.begin(), response.body.end()));
        message.headers().set_content_type(response.contentType);
        internal::whenSettled(
            this->request.reply(message),
            [owner = this->server, wasCounted = this->counted, from = this->peer] {
                if (wasCounted)
                    owner->finished(from);
            });
    }

    std::shared_ptr<Private> server;
    http_request request;
    std::string peer;
    std::string body;
    std::array<unsigned char, bodyChunkBytes> chunk{};
    std::atomic<bool> replied{false};
    bool counted = false;
    bool discarding = false;
};

const Route *HttpServer::Private::find(const std::string &method, const std::string &path,
                                       bool &pathKnown) const
{
    const Route *best = nullptr;
    for (const Route &route : this->routes) {
        if (!covers(route.prefix, path))
            continue;
        pathKnown = true;
        if (route.method != method)
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

bool HttpServer::Private::admit(const std::string &peer, HttpResponse &refused)
{
    constexpr int retryAfterMs = 1000;
    if (!this->accepting) {
        refused = refusal(503, "unavailable", "this instance is shutting down", retryAfterMs);
        return false;
    }
    const std::lock_guard lock(this->mutex);
    if (this->inFlight >= this->options.maxInFlight) {
        refused = refusal(503, "limit-exceeded", "too many requests are open", retryAfterMs);
        return false;
    }
    std::size_t &ofPeer = this->inFlightOfPeer[peer];
    if (ofPeer >= this->options.maxInFlightPerPeer) {
        refused =
            refusal(429, "limit-exceeded", "too many requests of this peer are open", retryAfterMs);
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

void HttpServer::Private::receive(const http_request &request)
{
    std::make_shared<Exchange>(this->shared_from_this(), request)->start();
}

bool HttpServer::Private::open(std::uint16_t wanted)
{
    web::uri_builder uri;
    uri.set_scheme("http").set_host(this->options.address).set_port(wanted).set_path("/");
    auto opened = std::make_unique<http_listener>(uri.to_uri());
    std::weak_ptr<Private> weak = this->weak_from_this();
    opened->support([weak](const http_request &request) {
        if (auto self = weak.lock())
            self->receive(request);
        else
            request.reply(web::http::status_codes::ServiceUnavailable);
    });
    try {
        opened->open().get();
    } catch (const std::exception &) {
        return false;
    }
    this->listener = std::move(opened);
    this->port = wanted;
    return true;
}

HttpServer::HttpServer(HttpServerOptions options)
    : d(std::make_shared<Private>())
{
    this->d->options = std::move(options);
}

HttpServer::~HttpServer()
{
    this->close();
}

void HttpServer::route(const std::string &method, const std::string &pathPrefix,
                       HttpHandler handler)
{
    this->d->routes.push_back({method, pathPrefix, std::move(handler)});
}

Result<void> HttpServer::start()
{
    const HttpServerOptions &options = this->d->options;
    if (options.port != 0) {
        if (this->d->open(options.port))
            return boost::outcome_v2::success();
    } else {
        for (int i = 0; i < freePortTries; ++i) {
            const std::uint16_t port = freePort(options.address);
            if (port != 0 && this->d->open(port))
                return boost::outcome_v2::success();
        }
    }
    return failure(ErrorCode::Unavailable,
                   "cannot listen for HTTP on " + options.address + ":"
                       + std::to_string(options.port));
}

std::uint16_t HttpServer::port() const
{
    return this->d->port;
}

void HttpServer::stopAccepting()
{
    this->d->accepting = false;
}

std::size_t HttpServer::inFlight() const
{
    const std::lock_guard lock(this->d->mutex);
    return this->d->inFlight;
}

bool HttpServer::waitUntilIdle(Instant deadline)
{
    std::unique_lock lock(this->d->mutex);
    return this->d->idle.wait_until(lock, deadline, [this] { return this->d->inFlight == 0; });
}

void HttpServer::close()
{
    if (!this->d->listener)
        return;
    try {
        this->d->listener->close().get();
    } catch (const std::exception &) {
        // It was closed already.
    }
    this->d->listener.reset();
}

} // namespace guavavalve
