#include "runtime/serviceroutes.h"
#include "runtime/httperror.h"
#include "runtime/httpserver.h"
#include "runtime/metrics.h"
#include "runtime/readiness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace guavavalve;

namespace {

/// The complete response to a GET request, including status line and headers.
std::string fetch(std::uint16_t port, const std::string &path)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), end);
    return answer;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("/readyz reports why an instance is not ready")
{
    Readiness readiness;
    Metrics metrics;
    HttpServer server{HttpServerOptions()};
    addServiceRoutes(server, readiness, metrics);
    REQUIRE(server.start());
    CHECK(contains(fetch(server.port(), "/readyz"), "503"));
    CHECK(contains(fetch(server.port(), "/readyz"), "\"starting\""));
    CHECK(contains(fetch(server.port(), "/healthz"), "200 OK"));
    readiness.started();
    CHECK(contains(fetch(server.port(), "/readyz"), "200 OK"));
    CHECK(contains(fetch(server.port(), "/metrics"), "guavavalve_ready 1"));
    readiness.beginShutdown();
    CHECK(contains(fetch(server.port(), "/readyz"), "\"shutting-down\""));
    server.close();
}

TEST_CASE("An error response states whether work ran and when to retry")
{
    Error error = failure(ErrorCode::Unavailable, "no controller");
    error.retryAfter = Milliseconds(1200);
    const HttpResponse response = errorResponse(error);
    CHECK(response.status == 503);
    CHECK(response.headers.at("Retry-After") == "2");
    CHECK(contains(response.body, "\"ran\":\"no\""));
    CHECK(contains(response.body, "\"error\":\"unavailable\""));
}
