#include "soak/nodesettingsfile.h"
#include "untrusted/endlessmessages.h"
#include "untrusted/rawclient.h"
#include "untrusted/smallcell.h"

#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::soak;
using namespace guavavalve::untrusted;

namespace {

constexpr int connections = 4;

/// Sends each message on several connections at once, and checks the processes after each.
void sendAll(SmallCell &cell, const std::string &ip, int port, const std::string &requestLine)
{
    for (const EndlessMessage &message : endlessMessages) {
        std::string head = requestLine;
        head.append("\r\nHost: ").append(ip).append("\r\nTransfer-Encoding: chunked\r\n\r\n");
        head += message.body;
        std::vector<std::thread> threads;
        threads.reserve(connections);
        for (int i = 0; i < connections; ++i) {
            threads.emplace_back([&] {
                RawClient client(ip, port);
                client.sendEndless(head, message.repeated, endlessBytes);
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        CAPTURE(message.name);
        CHECK_THAT(cell.violations(), Catch::Equals(""));
    }
}

} // namespace

// The cases below guard against a read buffer that grows with the framing of a body, which no limit
// on headers or bodies covers.

TEST_CASE("framing without an end from callers takes no memory")
{
    SmallCell cell;
    sendAll(cell, cell.entry().ip, Ports::frontend, "POST /jobs/00000000000000f1 HTTP/1.1");
    CHECK(cell.acceptsJob());
}

TEST_CASE("framing without an end on the readiness port takes no memory")
{
    SmallCell cell;
    sendAll(cell, cell.entry().ip, Ports::readiness, "GET /readiness HTTP/1.1");
    CHECK(SmallCell::answers(cell.entry().ip, Ports::readiness, "/readiness"));
    CHECK(cell.acceptsJob());
}

TEST_CASE("framing without an end on the control port takes no memory")
{
    SmallCell cell;
    sendAll(cell, cell.replica().ip, Ports::control, "PUT /instances/i-1 HTTP/1.1");
    CHECK(SmallCell::answers(cell.replica().ip, Ports::control, "/config"));
    CHECK(cell.acceptsJob());
}

TEST_CASE("framing without an end on the metrics port takes no memory")
{
    SmallCell cell;
    sendAll(cell, cell.replica().ip, Ports::metrics, "GET /metrics HTTP/1.1");
    CHECK(SmallCell::answers(cell.replica().ip, Ports::metrics, "/metrics"));
    CHECK(cell.acceptsJob());
}
