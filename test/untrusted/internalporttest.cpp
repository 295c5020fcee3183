#include "runtime/descriptorlimit.h"
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

// Guards against strangers on the port between instances who use up the descriptors of a process.
TEST_CASE("strangers on the internal port leave a process within its descriptors")
{
    constexpr std::size_t strangers = 900; // more than all descriptors of a process
    SmallCell cell;
    REQUIRE(raiseDescriptorLimit(2 * strangers) > strangers);
    for (const std::string &ip : {cell.entry().ip, cell.replica().ip}) {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (std::size_t i = 0; i < strangers; ++i)
            clients.push_back(std::make_unique<RawClient>(ip, Ports::firstInternal));
        CHECK_THAT(cell.violations(), Catch::Equals(""));
        CHECK(cell.acceptsJob());
    }
    CHECK_THAT(cell.violations(), Catch::Equals(""));
}
