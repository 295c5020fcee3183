#include <catch2/catch.hpp>

#include "fakes/eventually.h"
#include "journal/posixdisk.h"
#include "platform/nodedescriptors.h"
#include "platform/nodesettings.h"
#include "replicas/temporaryfolder.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <sys/resource.h>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::platform;
using fakes::eventually;

namespace {

/// Lowers the limit of this process's file descriptors during its lifetime.
class LowDescriptorLimit
{
public:
    explicit LowDescriptorLimit(rlim_t descriptors)
    {
        getrlimit(RLIMIT_NOFILE, &this->before);
        rlimit low = this->before;
        low.rlim_cur = descriptors;
        REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
    }
    ~LowDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &this->before); }
    LowDescriptorLimit(const LowDescriptorLimit &) = delete;
    LowDescriptorLimit &operator=(const LowDescriptorLimit &) = delete;

private:
    rlimit before{};
};

std::string loopbackAddress(unsigned number, std::uint16_t port)
{
    return "127.0." + std::to_string(number / 200) + "." + std::to_string(1 + number % 200) + ":"
        + std::to_string(port);
}

NodeSettings settingsOf(std::size_t maxFiles, bool hasDisk)
{
    NodeSettings settings;
    settings.maxFiles = maxFiles;
    settings.dataFolder = hasDisk ? "/data" : "";
    return settings;
}

} // namespace

// Guards against a journal that cannot open a file because connections have used up all
// descriptors.
TEST_CASE("a full listener and calls to 300 peers leave descriptors for a snapshot",
          "[descriptors]")
{
    // Both ends of each connection are in this process: 2 x 24 descriptors for the listener, 2 x 30
    // for the client, and a few for the loops.
    constexpr std::size_t listenerConnections = 24;
    constexpr std::size_t clientConnections = 30;
    const TemporaryFolder folder;
    const auto loop = std::make_shared<IoLoop>();
    HttpServerOptions narrow;
    narrow.maxConnections = listenerConnections;
    HttpServer full(narrow);
    HttpServerOptions everywhere;
    everywhere.address = "0.0.0.0";
    HttpServer peers(everywhere);
    peers.route("*", "/", [](const HttpRequest &, const HttpReply &reply) { reply({}); });
    REQUIRE(full.start());
    REQUIRE(peers.start());
    HttpClientOptions options;
    options.maxConnections = clientConnections;
    auto client = std::make_unique<HttpClient>(loop, options);
    const LowDescriptorLimit limit(200);

    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    for (std::size_t i = 0; i < listenerConnections; ++i) {
        callers.emplace_back(context);
        callers.back().connect({boost::asio::ip::address_v4::loopback(), full.port()});
    }
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    constexpr int peerCount = 300;
    loop->post([&] {
        for (unsigned i = 0; i < peerCount; ++i) {
            HttpClient::Call call;
            call.method = "POST";
            call.target = "/";
            client->call(
                loopbackAddress(i, peers.port()), call, monotonicNow() + Milliseconds(20000),
                [&](const Result<HttpResponse> &response) { ++(response ? answered : failed); });
        }
    });
    PosixDisk disk(folder.path());
    for (int i = 0; i < 20; ++i) {
        const std::string name = "snapshot-" + std::to_string(i);
        CHECK(disk.append(name, "state"));
        CHECK(disk.sync(name));
        CHECK(disk.rename(name, name + ".done"));
        CHECK(disk.read(name + ".done"));
    }
    CHECK(eventually([&] { return answered + failed == peerCount; }));
    CHECK(failed == 0);
    loop->stop();
    client.reset();
}

// Guards against a replica that ends because a file cannot be opened while no descriptor is free.
TEST_CASE("a write that fails because no descriptor is free can be repeated later", "[descriptors]")
{
    const TemporaryFolder folder;
    PosixDisk disk(folder.path());
    REQUIRE(disk.append("open", "a"));
    {
        const LowDescriptorLimit limit(3); // files that are already open stay open
        const auto refused = disk.append("new", "a");
        REQUIRE(!refused);
        CHECK(refused.error().code == ErrorCode::WriteRefused);
        CHECK(disk.append("open", "b"));
    }
    CHECK(disk.append("new", "a"));
}

TEST_CASE("the descriptor limit of a machine is divided according to whether it has a disk",
          "[descriptors]")
{
    const auto replica = nodeDescriptors(settingsOf(4324, true));
    REQUIRE(replica);
    CHECK(replica.value().of(DescriptorUse::Files) >= 64);
    CHECK(replica.value().of(DescriptorUse::Targets) >= 2 * 1100);
    const auto entry = nodeDescriptors(settingsOf(4100, false));
    REQUIRE(entry);
    CHECK(entry.value().of(DescriptorUse::Targets) == 0);
    CHECK(entry.value().of(DescriptorUse::Callers) > 3000);
    const auto tooFew = nodeDescriptors(settingsOf(300, true));
    REQUIRE(!tooFew);
    CHECK(tooFew.error().message.find("needs at least") != std::string::npos);
}
