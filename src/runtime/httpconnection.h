#pragma once

#include "core/clock.h"
#include "runtime/bytebudget.h"
#include "runtime/httpinput.h"
#include "runtime/httpserver.h"
#include "runtime/waitingconnections.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavavalve::internal {

class HttpConnection;

/// A request refused by the server itself, not by a handler, with the same JSON body as all
/// errors.
HttpResponse httpRefusal(int status, std::string_view error, std::string_view message,
                         int retryAfterMs = 0);

/// The interface of the server that accepted a connection, as the connection uses it.
class HttpConnectionOwner
{
public:
    virtual ~HttpConnectionOwner() = default;

    /// Counts a request of \a peer as in flight. False if a limit is reached or the server is
    /// shutting down; \a refused is then the response.
    virtual bool admit(const std::string &peer, HttpResponse &refused) = 0;
    /// Ends an admitted request, which is then no longer in flight.
    virtual void finished(const std::string &peer) = 0;
    virtual void serve(HttpRequest request, HttpReply reply) = 0;
    virtual void closed(const std::shared_ptr<HttpConnection> &connection) = 0;
    /// Closes a connection whose request takes memory and has stopped to arrive. False if there is
    /// none other than \a requester.
    virtual bool reclaimBytes(const HttpConnection &requester) = 0;

    HttpServerOptions options;
    WaitingConnections waiting;
    std::atomic<bool> accepting{true};
    std::atomic<bool> closing{false}; ///< true: each response closes its connection
};

/// One connection of a caller: reads a request, passes it to the server, writes the response, and
/// repeats. Everything runs on the loop, except the reply, which may be called on any thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpConnectionOwner> owner,
                   std::weak_ptr<IoLoop> loop);

    void start();
    void close();
    /// Closes the connection if its deadline has passed, so that a peer that is slow, idle or gone
    /// cannot hold it indefinitely.
    void closeIfExpired(Instant now);
    /// True if its request takes memory, and arrives more slowly than any sound client sends.
    bool isStalled(Instant now) const;

private:
    class Reply;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Message = boost::beast::http::response<boost::beast::http::string_body>;

    Instant inputNotBefore() const;
    void readRequest();
    void readMore();
    void onInput(boost::system::error_code error, std::size_t bytes);
    void parseInput();
    void onHeader();
    void readBody();
    bool takeBytes(std::size_t bodyBytes);
    bool takeInputBytes();
    bool takeFieldBytes();
    bool takeShare(std::size_t shareBytes);
    void refuseForBytes();
    void releaseBytes();
    void onRequest();
    /// \errors InvalidArgument if the request has several hosts, or its URI is malformed.
    Result<HttpRequest> parsedRequest() const;
    bool skipEmptyLine();
    void handleReadError(boost::system::error_code error);
    void answer(HttpResponse response);
    void onAnswered(boost::system::error_code error);
    void discardInput();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<HttpConnectionOwner> owner;
    std::weak_ptr<IoLoop> loop; ///< weak: a late reply may outlive the server and its loop
    std::string peer;
    HttpInput input;
    std::optional<Parser> parser;
    Message message;
    std::vector<ByteBudget::Share> bytes; ///< of the request that is read or in progress
    std::size_t takenBytes = 0; ///< of its body
    std::size_t takenInputBytes = 0;
    std::size_t takenFieldBytes = 0;
    WaitingConnections::Place place;
    Instant requestBegan{};
    /// The request that is read was sent after this time, see HttpRequest::sentNotBefore.
    Instant sentNotBefore{};
    Instant receivedNotBefore{}; ///< as HttpRequest's
    Instant answeredAt{}; ///< when the last response was begun to be written
    std::size_t requestInput = 0; ///< bytes of the request that have arrived
    std::array<char, 4096> discarded{}; ///< input of a refused request, never used
    Instant deadline = Instant::max();
    bool isAdmitted = false;
    bool isOpen = true;
    bool hasBegunRequest = false;
    bool hasSkippedLine = false; ///< before the request that is being read
};

} // namespace guavavalve::internal
