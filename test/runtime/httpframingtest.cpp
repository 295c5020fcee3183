#include <catch2/catch.hpp>

#include "runtime/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace guavavalve;

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t limitBytes = 1000; ///< of headers
const std::string chunkedHead = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Each piece arrives by itself.
void sendInPieces(tcp::socket &socket, const std::vector<std::string> &pieces)
{
    constexpr std::chrono::milliseconds pause{20};
    socket.set_option(tcp::no_delay(true));
    boost::system::error_code closedByPeer;
    for (const std::string &piece : pieces) {
        boost::asio::write(socket, boost::asio::buffer(piece), closedByPeer);
        std::this_thread::sleep_for(pause);
    }
}

/// A server that echoes bodies.
struct ServerFixture
{
    ServerFixture()
    {
        HttpServerOptions options;
        options.maxHeaderBytes = limitBytes;
        this->server = std::make_unique<HttpServer>(options);
        this->server->route("*", "/", [](const HttpRequest &request, const HttpReply &reply) {
            reply({200, {}, "<" + request.body + ">", "text/plain"});
        });
        REQUIRE(this->server->start());
    }

    /// The status line of the answer to what is sent, and its body if it is 200.
    std::string ask(const std::vector<std::string> &pieces)
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), this->server->port()});
        sendInPieces(socket, pieces);
        boost::system::error_code error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string got;
        char c = 0;
        while (socket.read_some(boost::asio::buffer(&c, 1), error) != 0)
            got.push_back(c);
        const std::string status = got.substr(0, got.find("\r\n"));
        return status == "HTTP/1.1 200 OK" ? got.substr(got.find("\r\n\r\n") + 4) : status;
    }

    std::unique_ptr<HttpServer> server;
};

constexpr const char *tooLarge = "HTTP/1.1 431 Request Header Fields Too Large";

std::string repeated(const std::string &text, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i)
        all += text;
    return all;
}

} // namespace

// Guards against a read buffer that grows until the framing of a body ends.
TEST_CASE_METHOD(ServerFixture, "framing of a body beyond the limit is refused", "[http][framing]")
{
    CHECK(this->ask({chunkedHead + "2\r\nhi\r\n0\r\n", repeated("X: 0123456789\r\n", 100)})
          == tooLarge);
    CHECK(this->ask({chunkedHead + "2\r\nhi\r\n0\r\nX: ", repeated("0123456789", 200)})
          == tooLarge);
    CHECK(this->ask({chunkedHead + "2;x=", repeated("0123456789", 200)}) == tooLarge);
    CHECK(this->ask({chunkedHead + "0;x=", repeated("0123456789", 200)}) == tooLarge);
    CHECK(this->ask({chunkedHead, std::string(2000, '0')}) == tooLarge);
    CHECK(this->ask({chunkedHead, repeated("1;x=" + std::string(500, 'a') + "\r\nx\r\n", 10)})
          == tooLarge);
}

// Guards against a limit that refuses what the protocol allows.
TEST_CASE_METHOD(ServerFixture, "framing of a body within the limit is read", "[http][framing]")
{
    CHECK(this->ask({chunkedHead + repeated("1\r\nx\r\n", 3000) + "0\r\n\r\n"})
          == "<" + std::string(3000, 'x') + ">");
    CHECK(this->ask({chunkedHead + repeated("00000001\r\nx\r\n", 300) + "0\r\n\r\n"})
          == "<" + std::string(300, 'x') + ">");
    CHECK(this->ask({chunkedHead + "2;x=" + std::string(400, 'a') + "\r\nhi\r\n0\r\n"
                     + repeated("X: 0123456789\r\n", 20) + "\r\n"})
          == "<hi>");
}
