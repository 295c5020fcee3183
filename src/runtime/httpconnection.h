#pragma once

#include "core/clock.h"
#include "runtime/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace guavavalve::internal {

class HttpConnection;

/// A refusal of the server itself, in the form that all its errors have.
HttpResponse httpRefusal(int status, std::string_view error, std::string_view message,
                         int retryAfterMs = 0);

/// What a connection asks of the server that accepted it.
class HttpConnectionOwner
{
public:
    virtual ~HttpConnectionOwner() = default;

    /// Counts a request of \a peer in; false, with what to answer, if it is one too many.
    virtual bool admit(const std::string &peer, HttpResponse &refused) = 0;
    /// Counts an admitted request out.
    virtual void finished(const std::string &peer) = 0;
    virtual void serve(HttpRequest request, HttpReply reply) = 0;
    virtual void closed(const std::shared_ptr<HttpConnection> &connection) = 0;

    HttpServerOptions options;
    std::atomic<bool> accepting{true};
    std::atomic<bool> closing{false}; ///< each answer ends its connection
};

/// One connection of a caller: reads a request, has it served, writes the answer, and again.
/// Everything runs on the loop, but for the reply, which may come from any thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpConnectionOwner> owner,
                   std::weak_ptr<IoLoop> loop);

    void start();
    void close();
    /// Guards against connections that stay for ever: a peer that is slow, idle or gone.
    void closeIfOverdue(Instant now);

private:
    class Reply;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Message = boost::beast::http::response<boost::beast::http::string_body>;

    void readHeader();
    void onHeader(boost::system::error_code error);
    void onRequest(boost::system::error_code error);
    bool parse(HttpRequest &request) const;
    void refuseBroken(boost::system::error_code error);
    void answer(HttpResponse response);
    void onAnswered(boost::system::error_code error);
    void discardRest();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<HttpConnectionOwner> owner;
    std::weak_ptr<IoLoop> loop; ///< a late reply may outlive its server
    std::string peer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    Message message;
    std::array<char, 4096> rest{}; ///< of a request that was refused; nobody reads it
    Instant overdueAt = Instant::max();
    bool isCounted = false;
    bool isOpen = true;
};

} // namespace guavavalve::internal
