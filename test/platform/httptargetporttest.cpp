#include <catch2/catch.hpp>

#include "platform/httptargetport.h"
#include "runtime/httpclient.h"
#include "runtime/httpserver.h"
#include "runtime/ioloop.h"

#include <nlohmann/json.hpp>

#include <future>
#include <memory>
#include <string>

using namespace guavavalve;
using namespace guavavalve::platform;
using namespace guavavalve::workflows;

namespace {

constexpr std::int64_t knownStart = 1000;
constexpr std::int64_t laterStart = 2000;

HttpServerOptions serverOptions(std::shared_ptr<IoLoop> loop)
{
    HttpServerOptions options;
    options.address = "127.0.0.1";
    options.loop = std::move(loop);
    return options;
}

/// A process of a target that answers all polls in the same way.
struct PollFixture
{
    PollFixture()
    {
        this->server.route("POST", "/hold",
                           [this](const HttpRequest &request, const HttpReply &reply) {
                               this->received = nlohmann::json::parse(request.body);
                               reply({this->status, {}, this->answer.dump()});
                           });
        REQUIRE(this->server.start());
    }

    ~PollFixture() { this->loop->stop(); }

    Result<HoldAnswer> poll(std::uint64_t fence = 1)
    {
        TargetIdentity target;
        target.name = "i-1";
        target.startedAtMs = knownStart;
        target.address = "127.0.0.1:" + std::to_string(this->server.port());
        HoldOrder order;
        order.fence = fence;
        std::promise<Result<HoldAnswer>> answered;
        this->loop->post([&] {
            this->port.hold(target, order, monotonicNow() + Milliseconds(5000),
                            [&](const Result<HoldAnswer> &got) { answered.set_value(got); });
        });
        return answered.get_future().get();
    }

    std::shared_ptr<IoLoop> loop = std::make_shared<IoLoop>();
    HttpServer server{serverOptions(this->loop)};
    HttpTargetPort port{std::make_shared<HttpClient>(this->loop, HttpClientOptions())};
    int status = 200;
    nlohmann::json answer;
    nlohmann::json received;
};

} // namespace

// Guards against runs that are taken for settled by lists which the answer did not contain.
TEST_CASE_METHOD(PollFixture,
                 "a later incarnation's lists are read, and missing ones are not empty",
                 "[targetport]")
{
    this->answer = {{"ClockMs", 5}, {"born", laterStart}};
    SECTION("it answers with its lists")
    {
        this->answer["Running"] = nlohmann::json::array();
        this->answer["Running"].push_back({"5c0e7a21d94b36f8.0.1.17", 2, "", 41});
        this->answer["EndedRuns"] = nlohmann::json::array();
        const auto lists = this->poll();
        REQUIRE(lists);
        CHECK(lists.value().reply == OrderReply::Reborn);
        CHECK_FALSE(lists.value().isTruncated);
        REQUIRE(lists.value().running.size() == 1);
        CHECK(lists.value().running.front().run == 2);
    }
    SECTION("it rejects the poll")
    {
        this->status = 409;
        this->answer["Reason"] = "fence";
        const auto lists = this->poll();
        REQUIRE(lists);
        CHECK(lists.value().reply == OrderReply::Reborn);
        CHECK(lists.value().isTruncated);
    }
}

// Guards against a fencing token that is rounded on its way.
TEST_CASE_METHOD(PollFixture, "a fencing token is sent as a whole number", "[targetport]")
{
    this->answer = {{"ClockMs", 5}, {"born", knownStart}};
    this->answer["Running"] = nlohmann::json::array();
    this->answer["EndedRuns"] = nlohmann::json::array();
    const std::uint64_t highest = (std::uint64_t(1) << 53U) - 1;
    REQUIRE(this->poll(highest));
    CHECK(this->received.at("FencingToken").is_number_unsigned());
    CHECK(this->received.at("FencingToken").get<std::uint64_t>() == highest);
}
