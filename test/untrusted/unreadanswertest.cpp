#include "fakes/eventually.h"
#include "soak/httpconnection.h"
#include "soak/nodesettingsfile.h"
#include "untrusted/rawclient.h"
#include "untrusted/smallcell.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::soak;
using namespace guavavalve::untrusted;

// Guards against answers that are held for clients that do not read them.
TEST_CASE("answers that are not read take no memory")
{
    constexpr std::size_t configurationBytes = 800000;
    constexpr int readers = 200;
    SmallCell cell(configurationBytes);
    const std::string ip = cell.replica().ip;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < readers; ++i) {
        clients.push_back(std::make_unique<RawClient>(ip, Ports::control));
        clients.back()->send("GET /config HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
    }
    CHECK(fakes::eventually([&] { return SmallCell::answers(ip, Ports::control, "/config"); }));
    CHECK_THAT(cell.violations(), Catch::Equals(""));
    CHECK(cell.acceptsJob());
}

// Guards against answers that are held for connections which have received them and stay open.
TEST_CASE("idle connections hold no answers")
{
    constexpr std::size_t configurationBytes = 1000000;
    constexpr int readers = 60; // below the connections of the control port
    SmallCell cell(configurationBytes);
    std::vector<std::unique_ptr<soak::HttpConnection>> connections;
    for (int i = 0; i < readers; ++i) {
        connections.push_back(
            std::make_unique<soak::HttpConnection>(cell.replica().ip, Ports::control));
        const auto deadline = monotonicNow() + std::chrono::seconds(20);
        CHECK(connections.back()->call("GET", "/config", {}, "", deadline).status == 200);
    }
    CHECK_THAT(cell.violations(), Catch::Equals(""));
    CHECK(cell.acceptsJob());
}

// Guards against requests that are held for connections which were answered and closed, and whose
// clients stay.
TEST_CASE("closed connections hold no requests")
{
    constexpr int clients = 60; // below the connections of the control port
    SmallCell cell;
    const std::string ip = cell.replica().ip;
    const std::string body(1000000, ' ');
    std::vector<std::unique_ptr<RawClient>> open;
    for (int i = 0; i < clients; ++i) {
        open.push_back(std::make_unique<RawClient>(ip, Ports::control));
        open.back()->send(
            "PUT /nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
        CHECK(SmallCell::answers(ip, Ports::control, "/config"));
    }
    CHECK_THAT(cell.violations(), Catch::Equals(""));
    CHECK(cell.acceptsJob());
}
