#include "runtime/httpclient.h"

#include "runtime/ioloop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/tcp.h>

#include <cerrno>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace guavavalve {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

struct HttpClient::Pool
{
    std::shared_ptr<IoLoop> loop;
    HttpClientOptions options;
    std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle;
    std::uint64_t opened = 0;

    void dropIdle(const std::string &address) { this->idle.erase(address); }
};

/// One connection and the call that is on it.
class HttpClient::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Pool> owner, std::string peer)
        : pool(std::move(owner))
        , address(std::move(peer))
        , socket(this->pool->loop->context())
        , timer(this->pool->loop->context())
    {}

    void start(Call call, Instant deadline, Done<HttpResponse> whenDone)
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
        this->awaitDeadline(deadline);
        if (this->isConnected)
            this->write();
        else
            this->connect();
    }

    /// False if the peer has closed an idle connection: a call on it would fail for nothing, and
    /// nobody could tell whether it had arrived.
    bool isAlive()
    {
        char byte = 0;
        const ssize_t got = recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

private:
    void awaitDeadline(Instant deadline)
    {
        this->overdueAt = deadline;
        this->timer.expires_after(untilDeadline(deadline));
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            // A wait that was over before its call was answered may be told only now, when the
            // connection has its next call: that one has a deadline of its own.
            if (error || !self->done || monotonicNow() < self->overdueAt)
                return;
            self->pool->dropIdle(self->address);
            self->fail(ErrorCode::DeadlineExceeded, "no answer by the deadline");
        });
    }

    void connect()
    {
        const std::size_t colon = this->address.rfind(':');
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(this->address.substr(0, colon), error);
        const std::string port =
            colon == std::string::npos ? std::string() : this->address.substr(colon + 1);
        char *end = nullptr;
        const unsigned long number = std::strtoul(port.c_str(), &end, 10);
        if (error || port.empty() || *end != '\0' || number > UINT16_MAX) {
            this->fail(ErrorCode::InvalidArgument, "not an address: " + this->address);
            return;
        }
        ++this->pool->opened;
        this->socket.async_connect(
            {ip, static_cast<std::uint16_t>(number)},
            [self = this->shared_from_this()](boost::system::error_code failed) {
                self->onConnect(failed);
            });
    }

    void onConnect(boost::system::error_code error)
    {
        if (!this->done)
            return;
        if (error) {
            this->fail(ErrorCode::Unavailable, "cannot connect: " + error.message());
            return;
        }
        this->isConnected = true;
        this->protectFromSilence();
        this->write();
    }

    /// Guards against a connection that goes silent without a reset, which shows as every call on
    /// it waiting for its deadline: unacknowledged bytes and unanswered probes end it.
    void protectFromSilence()
    {
        const auto limit = static_cast<unsigned>(this->pool->options.unacknowledgedLimit.count());
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

    /// Goes on with \a next, or ends the call if the connection broke.
    auto whenSettled(void (Connection::*next)())
    {
        return
            [self = this->shared_from_this(), next](boost::system::error_code error, std::size_t) {
                if (!self->done)
                    return;
                if (error)
                    self->fail(ErrorCode::Unavailable, "the connection broke: " + error.message());
                else
                    (self.get()->*next)();
            };
    }

    void write()
    {
        this->isSent = true;
        http::async_write(this->socket, this->request, this->whenSettled(&Connection::read));
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(this->pool->options.maxResponseBytes);
        http::async_read(this->socket, this->buffer, *this->parser,
                         this->whenSettled(&Connection::succeed));
    }

    void succeed()
    {
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
        auto &idle = this->pool->idle[this->address];
        if (message.keep_alive() && idle.size() < this->pool->options.maxIdlePerPeer)
            idle.push_back(this->shared_from_this());
        else
            this->close();
        std::exchange(this->done, nullptr)(std::move(response));
    }

    void fail(ErrorCode code, const std::string &message)
    {
        Error error = failure(code, this->address + ": " + message);
        error.ran = this->isSent ? Ran::Unknown : Ran::No;
        this->timer.cancel();
        this->close();
        std::exchange(this->done, nullptr)(std::move(error));
    }

    void close()
    {
        boost::system::error_code ignored;
        this->socket.close(ignored);
        this->isConnected = false;
    }

    std::shared_ptr<Pool> pool;
    std::string address;
    tcp::socket socket;
    asio::steady_timer timer;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    boost::beast::flat_buffer buffer;
    Done<HttpResponse> done;
    Instant overdueAt{};
    bool isConnected = false;
    bool isSent = false;
};

HttpClient::HttpClient(std::shared_ptr<IoLoop> loop, HttpClientOptions options)
    : pool(std::make_shared<Pool>())
{
    this->pool->loop = std::move(loop);
    this->pool->options = options;
}

HttpClient::~HttpClient()
{
    this->pool->idle.clear(); // each of them holds the pool
}

void HttpClient::call(const std::string &address, Call call, Instant deadline,
                      Done<HttpResponse> done)
{
    auto &idle = this->pool->idle[address];
    std::shared_ptr<Connection> connection;
    while (!connection && !idle.empty()) {
        if (idle.back()->isAlive())
            connection = std::move(idle.back());
        idle.pop_back();
    }
    if (!connection)
        connection = std::make_shared<Connection>(this->pool, address);
    connection->start(std::move(call), deadline, std::move(done));
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return this->pool->opened;
}

} // namespace guavavalve
