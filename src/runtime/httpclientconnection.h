#pragma once

#include "runtime/httpclient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace guavavalve::internal {

class HttpClientConnection;

/// What a connection tells the pool that opened it.
class HttpClientConnectionOwner
{
public:
    virtual ~HttpClientConnectionOwner() = default;

    /// The answer of its call has arrived; the connection may carry another one.
    virtual void settled(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    /// It is closed. \a isSilent: its call had no answer by the deadline.
    virtual void closed(const std::shared_ptr<HttpClientConnection> &connection, bool isSilent) = 0;
};

/// One connection to a peer and the call that is on it.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    using IdleList = std::list<std::shared_ptr<HttpClientConnection>>;

    HttpClientConnection(std::shared_ptr<HttpClientConnectionOwner> owner,
                         const HttpClientOptions &options, IoLoop &loop, std::string peer,
                         bool isForLongPolls);

    void start(HttpClient::Call call, Instant deadline, Done<HttpResponse> whenDone);
    /// Closes an idle connection without telling its owner.
    void close();

    /// False if the peer has closed an idle connection: a call on it would fail for nothing, and
    /// nobody could tell whether it had arrived.
    bool isAlive();

    const std::string &peer() const { return this->address; }
    bool isForLongPolls() const { return this->forLongPolls; }

    IdleList::iterator idlePlace; ///< the owner's, while the connection is idle

private:
    void awaitDeadline(Instant deadline);
    void connect();
    void onConnect(boost::system::error_code error);
    void protectFromSilence();
    auto whenSettled(void (HttpClientConnection::*next)());
    void write();
    void read();
    void succeed();
    void fail(ErrorCode code, const std::string &message);

    std::shared_ptr<HttpClientConnectionOwner> owner;
    HttpClientOptions options;
    std::string address;
    bool forLongPolls = false;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser;
    boost::beast::flat_buffer buffer;
    Done<HttpResponse> done;
    Instant overdueAt{};
    bool isConnected = false;
    bool isSent = false;
};

} // namespace guavavalve::internal
