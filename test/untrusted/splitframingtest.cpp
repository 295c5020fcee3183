#include "soak/nodesettingsfile.h"
#include "untrusted/rawclient.h"
#include "untrusted/smallcell.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::soak;
using namespace guavavalve::untrusted;

namespace {

/// Sends \a pieces so that each arrives by itself.
void sendInPieces(const std::string &ip, int port, const std::vector<std::string> &pieces)
{
    constexpr std::chrono::milliseconds pause{20};
    RawClient client(ip, port);
    for (const std::string &piece : pieces) {
        client.send(piece);
        std::this_thread::sleep_for(pause);
    }
}

} // namespace

// Guards against an assertion of the HTTP parser, which ends the process when the line of the last
// chunk and the next byte arrive by themselves.
TEST_CASE("a last chunk that arrives in pieces ends no process")
{
    SmallCell cell;
    const std::string head = " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    sendInPieces(cell.entry().ip, Ports::frontend,
                 {"POST /jobs/00000000000000f1" + head, "0\r\n", "X"});
    sendInPieces(cell.replica().ip, Ports::control, {"PUT /instances/i-1" + head, "0\r\n", "X"});
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}
