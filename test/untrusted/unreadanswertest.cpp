#include "fakes/eventually.h"
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
