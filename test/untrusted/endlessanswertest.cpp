#include "fakes/eventually.h"
#include "soak/nodesettingsfile.h"
#include "untrusted/endlessmessages.h"
#include "untrusted/rawserver.h"
#include "untrusted/smallcell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::soak;
using namespace guavavalve::untrusted;

namespace {

constexpr int targets = 4;
constexpr std::size_t answersPerTarget = 2;

/// Has the leader poll targets whose answers do not end.
void answerAll(SmallCell &cell, const std::string &head, const std::string &repeated)
{
    std::vector<std::unique_ptr<RawServer>> servers;
    for (int i = 0; i < targets; ++i) {
        const std::string ip = cell.targetIp(i);
        servers.push_back(
            std::make_unique<RawServer>(ip, Ports::target, head, repeated, endlessBytes));
        REQUIRE(cell.announce(ip + ":" + std::to_string(Ports::target)));
    }
    CHECK(fakes::eventually([&servers] {
        return std::all_of(servers.begin(), servers.end(), [](const auto &server) {
            return server->finished() >= answersPerTarget;
        });
    }));
}

} // namespace

// Guards against a read buffer that grows with the framing of an answer, until the leader is out of
// memory.
TEST_CASE("framing without an end from targets takes no memory")
{
    SmallCell cell;
    for (const EndlessMessage &message : endlessMessages) {
        CAPTURE(message.name);
        answerAll(cell,
                  std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                      + message.body,
                  message.repeated);
        CHECK_THAT(cell.violations(), Catch::Equals(""));
    }
    CHECK(cell.acceptsJob());
}

// As above, for what comes before the body of an answer and for a body without a length.
TEST_CASE("answers without an end from targets take no memory")
{
    struct Answer
    {
        const char *name;
        const char *head;
        const char *repeated;
    };
    const std::vector<Answer> answers{
        {"header lines", "HTTP/1.1 200 OK\r\n", "X-Header: 0123456789\r\n"},
        {"one header", "HTTP/1.1 200 OK\r\nX-Header: ", "0123456789"},
        {"the status line", "HTTP/1.1 200 ", "0123456789"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "0123456789"},
        {"chunks of one byte", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1\r\n \r\n"},
    };
    SmallCell cell;
    for (const Answer &answer : answers) {
        CAPTURE(answer.name);
        answerAll(cell, answer.head, answer.repeated);
        CHECK_THAT(cell.violations(), Catch::Equals(""));
    }
    CHECK(cell.acceptsJob());
}
