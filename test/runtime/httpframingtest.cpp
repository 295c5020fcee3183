#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "runtime/bytebudget.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace guavavalve;

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t limitBytes = 1000; ///< of headers
const std::string chunkedHead = "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string chunkedAnswer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

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
    explicit ServerFixture(const HttpServerOptions &options = ServerFixture::smallHeaders())
    {
        this->server = std::make_unique<HttpServer>(options);
        this->server->route("*", "/", [](const HttpRequest &request, const HttpReply &reply) {
            reply({200, {}, "<" + request.body + ">", "text/plain"});
        });
        REQUIRE(this->server->start());
    }

    static HttpServerOptions smallHeaders()
    {
        HttpServerOptions options;
        options.maxHeaderBytes = limitBytes;
        return options;
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

namespace {

/// A server that sends the given bytes to whoever calls, and then keeps the connection open.
struct RawAnswerFixture
{
    explicit RawAnswerFixture(HttpClientOptions options = HttpClientOptions())
        : client(this->loop, std::move(options))
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        this->acceptor.listen();
        this->acceptor.non_blocking(true);
    }
    ~RawAnswerFixture() { this->loop->stop(); }

    /// The status with which a call ends that is answered with \a pieces; 0 if it fails, and 504 if
    /// it has no answer by its deadline. The connection stays open.
    int call(const std::vector<std::string> &pieces)
    {
        std::atomic<int> status{-1};
        this->loop->post([this, &status] {
            HttpClient::Call call;
            call.method = "GET";
            call.target = "/";
            this->client.call("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()),
                              std::move(call), monotonicNow() + Milliseconds(5000),
                              [&status](const Result<HttpResponse> &answer) {
                                  if (answer)
                                      status = answer.value().status;
                                  else
                                      status = answer.error().code == ErrorCode::DeadlineExceeded
                                          ? 504
                                          : 0;
                              });
        });
        tcp::socket &socket = this->sockets.emplace_back(this->context);
        boost::system::error_code error;
        REQUIRE(fakes::eventually([&] {
            this->acceptor.accept(socket, error);
            return !error;
        }));
        sendInPieces(socket, pieces);
        CHECK(fakes::eventually([&status] { return status >= 0; }));
        return status;
    }

    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    HttpClient client;
    boost::asio::io_context context;
    tcp::acceptor acceptor{this->context};
    std::list<tcp::socket> sockets;
};

} // namespace

// Guards against a read buffer that grows until the framing of a response ends.
TEST_CASE_METHOD(RawAnswerFixture, "framing of a response beyond the limit fails the call",
                 "[http][framing]")
{
    CHECK(this->call({chunkedAnswer + "2\r\nhi\r\n0\r\n", repeated("X: 0123456789\r\n", 2000)})
          == 0);
    CHECK(this->call({chunkedAnswer + "2;x=", repeated("0123456789", 2000)}) == 0);
    CHECK(this->call({chunkedAnswer, std::string(20000, '0')}) == 0);
    CHECK(this->call({chunkedAnswer + "2;x=y\r\nhi\r\n0\r\nX: y\r\n\r\n"}) == 200);
}

// Guards against bytes that nobody asked for and that are taken for the next response.
TEST_CASE_METHOD(RawAnswerFixture, "a connection with input after a response is not used again",
                 "[http][framing]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    CHECK(this->call({answer + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"})
          == 200);
    CHECK(this->call({answer}) == 200);
}

// Guards against an assertion of the parser, which ends the process: it takes the last chunk's line
// for longer than it may be.
TEST_CASE_METHOD(ServerFixture, "a last chunk that arrives in pieces is read", "[http][framing]")
{
    CHECK(this->ask({chunkedHead, "0\r\n", "X", ": y\r\n\r\n"}) == "<>");
    CHECK(this->ask({chunkedHead, "0", "\r", "\n", "\r", "\n"}) == "<>");
    CHECK(this->ask({chunkedHead, "2\r\nhi", "\r", "\n", "0", "\r", "\n", "\r", "\n"}) == "<hi>");
    CHECK(this->ask({chunkedHead, "0\r\n", "X"}).empty());
}

// As above, for responses.
TEST_CASE_METHOD(RawAnswerFixture, "a last chunk of a response that arrives in pieces is read",
                 "[http][framing]")
{
    CHECK(this->call({chunkedAnswer, "0\r\n", "X", ": y\r\n\r\n"}) == 200);
}

// Guards against header lines that are counted by the read in which they arrive: the parser keeps
// them, and counts anew if less than three bytes of the next line have come.
TEST_CASE_METHOD(ServerFixture, "header lines that arrive one by one count together",
                 "[http][framing]")
{
    std::vector<std::string> pieces{"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nX"};
    pieces.insert(pieces.end(), 20, ": " + std::string(100, 'a') + "\r\nX");
    pieces.emplace_back(": y\r\n\r\n");
    CHECK(this->ask(pieces) == tooLarge);
}

namespace {

constexpr std::size_t budgetBytes = std::size_t{100} << 10U;

struct BudgetServerFixture : ServerFixture
{
    BudgetServerFixture()
        : ServerFixture([] {
            HttpServerOptions options;
            options.budget = std::make_shared<ByteBudget>(budgetBytes, 0);
            return options;
        }())
    {}
};

struct BudgetClientFixture : RawAnswerFixture
{
    BudgetClientFixture()
        : RawAnswerFixture([] {
            HttpClientOptions options;
            options.budget = std::make_shared<ByteBudget>(budgetBytes, 0);
            return options;
        }())
    {}
};

} // namespace

// Guards against header lines of a few bytes, each of which takes some hundred bytes of memory.
TEST_CASE_METHOD(BudgetServerFixture, "the memory of header lines is counted", "[http][framing]")
{
    const std::string lines = repeated("a:\r\n", 2000);
    const std::string rest = "Content-Length: 0\r\n\r\n";
    const std::string tooMuch = "HTTP/1.1 503 Service Unavailable";
    CHECK(this->ask({"POST /p HTTP/1.1\r\nHost: a\r\n" + lines + rest}) == tooMuch);
    CHECK(this->ask({"POST /p HTTP/1.1\r\nHost: a\r\n" + lines}) == tooMuch);
    CHECK(this->ask({chunkedHead + "2\r\nhi\r\n0\r\n" + lines + "\r\n"}) == tooMuch);
    CHECK(this->ask({"POST /p HTTP/1.1\r\nHost: a\r\n" + repeated("a: b\r\n", 100) + rest})
          == "<>");
}

// As above, for responses.
TEST_CASE_METHOD(BudgetClientFixture, "the memory of header lines of a response is counted",
                 "[http][framing]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "Content-Length: 0\r\n\r\n";
    CHECK(this->call({head + repeated("a:\r\n", 1500) + rest}) == 0);
    CHECK(this->call({head + repeated("a: b\r\n", 30) + rest}) == 200);
}
