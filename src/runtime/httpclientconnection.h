#pragma once

#include "runtime/bytebudget.h"
#include "runtime/httpclient.h"
#include "runtime/httpinput.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::internal {

class HttpClientConnection;

/// The events that a connection reports to the pool that opened it.
class HttpClientConnectionOwner
{
public:
    virtual ~HttpClientConnectionOwner() = default;

    /// The response to the current call has arrived; the connection can be reused.
    virtual void completed(const std::shared_ptr<HttpClientConnection> &connection) = 0;
    /// The connection was closed. \a hasTimedOut: its call had no response by the deadline.
    virtual void closed(const std::shared_ptr<HttpClientConnection> &connection,
                        bool hasTimedOut) = 0;
};

/// One connection to a peer; it carries one call at a time.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    using IdleList = std::list<std::shared_ptr<HttpClientConnection>>;

    HttpClientConnection(std::shared_ptr<HttpClientConnectionOwner> owner,
                         const HttpClientOptions &options, IoLoop &loop, std::string peer,
                         bool isForLongPolls);

    void start(HttpClient::Call call, Instant deadline, Done<HttpResponse> whenDone);
    /// Closes an idle connection without notifying its owner.
    void close();

    /// False if the peer has closed an idle connection: a call sent on it would fail without need,
    /// and whether it had been received would be unknown.
    bool isAlive();

    const std::string &peer() const { return this->address; }
    bool isForLongPolls() const { return this->forLongPolls; }

    IdleList::iterator idlePosition; ///< in the owner's list, while the connection is idle

private:
    void startDeadlineTimer(Instant deadline);
    void connect();
    void onConnect(boost::system::error_code error);
    void enableDeadPeerDetection();
    void write();
    void readResponse();
    void readMore();
    void onInput(boost::system::error_code error, std::size_t bytes);
    bool takeBytes(std::size_t bodyBytes);
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
    HttpInput input;
    std::vector<ByteBudget::Share> bytes; ///< for the response that is being received
    std::size_t takenBytes = 0; ///< of its body
    Done<HttpResponse> done;
    Instant deadline{};
    bool isConnected = false;
    bool isSent = false;
};

} // namespace guavavalve::internal
