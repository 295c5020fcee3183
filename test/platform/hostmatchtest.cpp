#include <catch2/catch.hpp>

#include "controller/controllerlink.h"
#include "platform/leaderfixture.h"
#include "platform/noreplicas.h"
#include "platform/platformdocument.h"
#include "platform/relay.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace guavavalve;
using namespace guavavalve::platform;

namespace {

/// A leader whose configuration has one route that needs no key.
class RouteFixture : public LeaderFixture
{
public:
    RouteFixture() { this->useRoute("a.example", "/p/"); }

    void useRoute(const std::string &host, const std::string &prefix)
    {
        nlohmann::json json = platformDocument();
        nlohmann::json &route = json["Routes"][0];
        route["Host"] = host;
        route["PathPrefix"] = prefix;
        route["AuthExempt"] = true;
        json["Routes"] = {route};
        json["Version"] = ++this->version;
        REQUIRE(this->call("PUT", "/config", "", json.dump()) == 200);
    }
    int get(const std::string &host, const std::string &path = "/p/")
    {
        return this->call("GET", path, host, "");
    }

    int version = 10;
};

} // namespace

// Guards against a route in force that clients do not reach, since they write its host otherwise.
TEST_CASE_METHOD(RouteFixture, "a route is found by every form of its host", "[configuration]")
{
    for (const char *configured : {"a.example", "A.Example", "a.example.", "a.example:8080"}) {
        INFO(configured);
        this->useRoute(configured, "/p/");
        for (const char *sent : {"a.example", "A.EXAMPLE", "a.example.", "a.example:8080",
                                 "a.Example.:80", "a.example:"}) {
            INFO(sent);
            CHECK(this->get(sent) == 200);
        }
        for (const char *sent : {"b.example", "a.example.org", "xa.example", "a", ".", ":80"})
            CHECK(this->get(sent) == 404);
    }
}

// Guards against a literal address that is cut at its first colon.
TEST_CASE_METHOD(RouteFixture, "a route is found by the address of its host", "[configuration]")
{
    for (const char *configured : {"[2001:DB8::1]", "[2001:db8::1]:8080", "2001:db8::1"}) {
        INFO(configured);
        this->useRoute(configured, "/p/");
        CHECK(this->get("[2001:db8::1]") == 200);
        CHECK(this->get("[2001:DB8::1]:28183") == 200);
        CHECK(this->get("[2001:db8::2]") == 404);
        CHECK(this->get("[2001") == 404);
    }
    this->useRoute("10.0.0.1", "/p/");
    CHECK(this->get("10.0.0.1:80") == 200);
}

// Guards against a prefix that no request can begin with: paths are decoded before they are
// matched.
TEST_CASE_METHOD(RouteFixture, "a route's prefix may be percent-encoded", "[configuration]")
{
    this->useRoute("a.example", "/%70%C3%A9/");
    CHECK(this->get("a.example", "/p\xc3\xa9/") == 200);
    CHECK(this->get("a.example", "/%70%C3%A9/") == 404);
}

// Guards against a caller that names no host and is taken for an operator.
TEST_CASE_METHOD(RouteFixture, "a caller without a host reaches no control call", "[configuration]")
{
    NoReplicas messenger;
    auto link =
        std::make_shared<ControllerLink>(messenger, std::vector<std::string>{"other"},
                                         [](Milliseconds, const std::function<void()> &) {});
    Relay::Hooks hooks;
    hooks.localService = [this] { return &this->service; };
    hooks.hasController = [] { return true; };
    hooks.answered = [](int, Microseconds) {};
    hooks.stamp = [](Instant, Instant) { return CallStamp{}; };
    Relay relay(std::move(link), messenger, std::move(hooks), "leader");
    const auto send = [&](const std::string &method, const std::string &path,
                          const std::string &body) {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.body = body;
        int status = 0;
        relay.serveCaller(request,
                          [&status](const HttpResponse &response) { status = response.status; });
        this->runPosted();
        return status;
    };
    this->call("GET", "/config", "", "");
    const std::string before = this->body;
    nlohmann::json json = platformDocument();
    json["Version"] = 1000;
    CHECK(send("PUT", "/config", json.dump()) == 400);
    CHECK(send("GET", "/config", "") == 400);
    CHECK(send("POST", "/evacuation/a", "") == 400);
    this->call("GET", "/config", "", "");
    CHECK(this->body == before);
}
