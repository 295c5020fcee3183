#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <future>

using namespace guavavalve;

namespace {

/// A client on a loop of its own, and a server.
class ClientFixture
{
public:
    ClientFixture()
        : loop(std::make_shared<IoLoop>())
        , client(std::make_unique<HttpClient>(this->loop, HttpClientOptions()))
    {}
    ~ClientFixture()
    {
        this->loop->stop();
        this->client.reset();
    }

    Result<HttpResponse> call(std::uint16_t port, const std::string &target,
                              Milliseconds limit = Milliseconds(10000))
    {
        auto answered = std::make_shared<std::promise<Result<HttpResponse>>>();
        auto answer = answered->get_future();
        this->loop->post([this, port, target, limit, answered] {
            HttpClient::Call call;
            call.method = "POST";
            call.target = target;
            call.body = "{}";
            this->client->call("127.0.0.1:" + std::to_string(port), call, monotonicNow() + limit,
                               [answered](Result<HttpResponse> response) {
                                   answered->set_value(std::move(response));
                               });
        });
        return answer.get();
    }

    std::shared_ptr<IoLoop> loop;
    std::unique_ptr<HttpClient> client;
};

HttpServerOptions shortIdle()
{
    HttpServerOptions options;
    options.idleLimit = Milliseconds(100);
    return options;
}

} // namespace

TEST_CASE_METHOD(ClientFixture, "calls one after the other share a connection", "[httpclient]")
{
    HttpServer server({});
    server.route("*", "/", [](const HttpRequest &request, const HttpReply &reply) {
        reply({201, {{"X-Echo", request.path}}, request.body});
    });
    REQUIRE(server.start());
    for (int i = 0; i < 5; ++i) {
        const auto answer = this->call(server.port(), "/a");
        REQUIRE(answer);
        CHECK(answer.value().status == 201);
        CHECK(answer.value().body == "{}");
        CHECK(answer.value().headers.at("x-echo") == "/a");
    }
    CHECK(this->client->connectionsOpened() == 1);
}

TEST_CASE_METHOD(ClientFixture, "a connection that the server has closed is not used again",
                 "[httpclient]")
{
    // The server closes an idle connection. A call sent on it would fail, and nobody could say
    // whether it had run.
    HttpServer server(shortIdle());
    server.route("*", "/", [](const HttpRequest &, const HttpReply &reply) { reply({}); });
    REQUIRE(server.start());
    REQUIRE(this->call(server.port(), "/"));
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    CHECK(this->call(server.port(), "/"));
    CHECK(this->client->connectionsOpened() == 2);
}

TEST_CASE_METHOD(ClientFixture, "a call without an answer ends at its deadline, its run unknown",
                 "[httpclient]")
{
    HttpServer server({});
    std::vector<HttpReply> held;
    server.route("*", "/silent", [&held](const HttpRequest &, HttpReply reply) {
        held.push_back(std::move(reply));
    });
    server.route("*", "/", [](const HttpRequest &, const HttpReply &reply) { reply({}); });
    REQUIRE(server.start());
    const auto silent = this->call(server.port(), "/silent", Milliseconds(100));
    REQUIRE(!silent);
    CHECK(silent.error().code == ErrorCode::DeadlineExceeded);
    CHECK(silent.error().ran == Ran::Unknown);
    CHECK(this->call(server.port(), "/")); // on a connection of its own
    held.clear();
}

TEST_CASE_METHOD(ClientFixture, "a call that found no server has not run", "[httpclient]")
{
    const auto refused = this->call(1, "/"); // nobody listens on port 1
    REQUIRE(!refused);
    CHECK(refused.error().code == ErrorCode::Unavailable);
    CHECK(refused.error().ran == Ran::No);
}

TEST_CASE_METHOD(ClientFixture, "a connection that breaks before the answer leaves the run unknown",
                 "[httpclient]")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    auto closer = std::async(std::launch::async, [&] {
        auto socket = acceptor.accept();
        char byte = 0;
        boost::system::error_code ignored;
        socket.read_some(boost::asio::buffer(&byte, 1), ignored);
        socket.close();
    });
    const auto broken = this->call(acceptor.local_endpoint().port(), "/");
    closer.get();
    REQUIRE(!broken);
    CHECK(broken.error().ran == Ran::Unknown);
}
