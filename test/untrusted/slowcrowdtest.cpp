#include "soak/nodesettingsfile.h"
#include "untrusted/rawclient.h"
#include "untrusted/smallcell.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::soak;
using namespace guavavalve::untrusted;

namespace {

/// More connections than any port of a process may hold, of clients that stay.
class Crowd
{
public:
    Crowd(const std::string &ip, int port, const std::string &unfinished)
    {
        for (int i = 0; i < connections; ++i) {
            this->clients.push_back(std::make_unique<RawClient>(ip, port));
            this->connected += this->clients.back()->isConnected() ? 1 : 0;
            this->clients.back()->send(unfinished);
        }
        CHECK(this->connected == connections);
    }

private:
    static constexpr int connections = 400;

    int connected = 0;
    std::vector<std::unique_ptr<RawClient>> clients;
};

std::string unfinishedHeader(const std::string &requestLine)
{
    constexpr std::size_t bytes = 12000; // below the limit on headers
    return requestLine + "\r\nHost: jobs.example\r\nX-Slow: " + std::string(bytes, 'a');
}

/// Each line takes far more memory than it has bytes.
std::string unfinishedLines(const std::string &requestLine)
{
    constexpr int lines = 7000; // below the limit on headers
    std::string header = requestLine + "\r\nHost: jobs.example\r\n";
    for (int i = 0; i < lines; ++i)
        header += "a:\r\n";
    return header;
}

std::string unfinishedBody(const std::string &requestLine)
{
    return requestLine + "\r\nHost: jobs.example\r\nContent-Length: 60000\r\n\r\n{\"TaskSpec\":\"";
}

const std::string submission = "POST /jobs/00000000000000f1 HTTP/1.1";
const std::string report = "PUT /instances/i-1 HTTP/1.1";

} // namespace

// The cases below guard against callers that get no connection, or no memory for their request,
// while others hold all of it with requests that they do not finish.

TEST_CASE("callers are served beside connections that finish no header")
{
    SmallCell cell;
    const Crowd crowd(cell.entry().ip, Ports::frontend, unfinishedHeader(submission));
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("callers are served beside connections that finish no body")
{
    SmallCell cell;
    const Crowd crowd(cell.entry().ip, Ports::frontend, unfinishedBody(submission));
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("callers are served beside connections that send nothing")
{
    SmallCell cell;
    const Crowd crowd(cell.entry().ip, Ports::frontend, "");
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("callers are served beside headers of many lines")
{
    SmallCell cell;
    const Crowd crowd(cell.entry().ip, Ports::frontend, unfinishedLines(submission));
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("the control port answers beside headers of many lines")
{
    SmallCell cell;
    const std::string ip = cell.replica().ip;
    const Crowd crowd(ip, Ports::control, unfinishedLines(report));
    CHECK(SmallCell::answers(ip, Ports::control, "/config"));
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("the readiness port answers beside connections that finish no header")
{
    SmallCell cell;
    const std::string ip = cell.entry().ip;
    const Crowd crowd(ip, Ports::readiness, unfinishedHeader("GET /readiness HTTP/1.1"));
    CHECK(SmallCell::answers(ip, Ports::readiness, "/readiness"));
    CHECK(cell.acceptsJob());
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("the control port answers beside connections that finish no header")
{
    SmallCell cell;
    const std::string ip = cell.replica().ip;
    const Crowd crowd(ip, Ports::control, unfinishedHeader(report));
    CHECK(SmallCell::answers(ip, Ports::control, "/config"));
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}

TEST_CASE("the control port answers beside connections that finish no body")
{
    SmallCell cell;
    const std::string ip = cell.replica().ip;
    const Crowd crowd(ip, Ports::control, unfinishedBody(report));
    CHECK(cell.announce("127.0.0.1:9"));
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}
