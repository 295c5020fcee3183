#include <catch2/catch.hpp>

#include "settings/daemonsettingstable.h"
#include "settings/loadsettings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <string>

using namespace guavavalve;

namespace {

const std::string minimalSettings = R"({
  "instance": "entry-1", "failureDomain": "regina",
  "cluster": {"id": "brandvold", "secretFile": "cluster.secret", "dataFolder": "data"}
})";

/// The minimal settings with \a patch merged in.
std::string with(const std::string &patch)
{
    nlohmann::json document = nlohmann::json::parse(minimalSettings);
    document.merge_patch(nlohmann::json::parse(patch));
    return document.dump();
}

std::string problemOf(const std::string &text)
{
    const auto settings = parseSettings(text);
    if (settings.has_value())
        return "no problem";
    CHECK(settings.error().code == ErrorCode::InvalidArgument);
    return settings.error().message;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("settings that are given are read and the others keep their defaults", "[settings]")
{
    const auto settings =
        parseSettings(with(R"({"log": {"format": "json"}, "leases": {"configurationMs": 5000},
                 "callers": {"listen": "127.0.0.1:0"},
                 "cluster": {"replicas": ["127.0.0.1:7001", "[::1]:7002"]}})"));
    REQUIRE(settings.has_value());
    CHECK(settings.value().instance == "entry-1");
    CHECK(settings.value().holdsReplica());
    CHECK(settings.value().logFormat == LogFormat::Json);
    CHECK(settings.value().configurationLeaseMs == 5000);
    CHECK(settings.value().callersAdvertise == "127.0.0.1:0");
    CHECK(settings.value().replicas.size() == 2);
    CHECK(settings.value().heartbeatMs == DaemonSettings().heartbeatMs);
}

TEST_CASE("an invalid setting is reported with its path, what was found and what is allowed",
          "[settings]")
{
    const std::string path = "replication.heartbeatMs: found ";
    CHECK(contains(problemOf(with(R"({"replication": {"heartbeatMs": 5}})")),
                   path + "5, allowed: a whole number from 10 to 10000 ms"));
    CHECK(contains(problemOf(with(R"({"replication": {"heartbeatMs": "50"}})")), path + "\"50\""));
    CHECK(contains(problemOf(with(R"({"replication": {"heartbeatMs": 50.5}})")), path + "50.5"));
    CHECK(contains(problemOf(with(R"({"replication": {"heartbeatMs": 18446744073709551615}})")),
                   path + "18446744073709551615"));
    CHECK(contains(problemOf(with(R"({"replication": 7})")), "replication: found 7"));
    CHECK(contains(problemOf(with(R"({"heartbeat": 7})")), "heartbeat: found an unknown name"));
    CHECK(contains(problemOf(with(R"({"replication.heartbeatMs": 50})")), "an unknown name"));
    CHECK(contains(problemOf(with(R"({"log": {"level": "loud"}})")),
                   "one of debug, info, warning, error"));
    CHECK(contains(problemOf(with(R"({"callers": {"listen": "localhost:80"}})")),
                   "callers.listen: found \"localhost:80\""));
    CHECK(contains(problemOf(with(R"({"callers": {"listen": "127.0.0.1:65536"}})")), "65536"));
    CHECK(contains(problemOf(with(R"({"cluster": {"replicas": ["127.0.0.1:1", 2]}})")),
                   "cluster.replicas: found"));
    CHECK(contains(problemOf(with(R"({"instance": "a/../b"})")), "instance: found"));
    CHECK(contains(problemOf("{}"), "cluster.id: found nothing"));
    CHECK(contains(problemOf("[]"), "one JSON object"));
    CHECK(contains(problemOf("{\"instance\": \"a\""), "bad JSON"));
    CHECK(contains(problemOf(std::string(40, '[')), "nesting deeper"));
}

// An operator edits the first of two lines with the same name and nothing changes, because the
// parser keeps the last. Duplicate names must be refused.
TEST_CASE("a duplicate setting is refused with its path", "[settings]")
{
    CHECK(contains(problemOf(R"({"log": {"level": "info", "level": "debug"}})"),
                   "log.level: found the name twice"));
    CHECK(contains(problemOf(R"({"log": {"level": "info"}, "log": {"format": "json"}})"),
                   "log: found the name twice"));
}

TEST_CASE("all problems are reported at once and conflicting settings are refused", "[settings]")
{
    const std::string text =
        problemOf(with(R"({"log": {"queueLines": 0, "colour": true}, "region": 5})"));
    CHECK(contains(text, "3 problem(s)"));
    CHECK(contains(text, "log.queueLines"));
    CHECK(contains(text, "log.colour"));
    CHECK(contains(text, "region"));
    CHECK(contains(problemOf(with(R"({"replication": {"electionTimeoutMs": 200}})")),
                   "at most a third of replication.electionTimeoutMs"));
    CHECK(contains(problemOf(with(R"({"cluster": {"dataFolder": ""}})")),
                   "cluster.replicas: found nothing"));
}

TEST_CASE("every row of the table has a description and a valid default", "[settings]")
{
    for (const FieldSpec &spec : daemonSettingsTable().specs()) {
        INFO(spec.path);
        CHECK(spec.doc.size() > 10);
        CHECK(contains(settingsHelp(), spec.path + "\n"));
        CHECK(contains(settingsReferencePage(), "`" + spec.path + "`"));
        if (spec.required)
            continue;
        std::string pointer = "/" + spec.path;
        std::replace(pointer.begin(), pointer.end(), '.', '/');
        nlohmann::json document = nlohmann::json::parse(minimalSettings);
        document[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(spec.defaultText);
        if (spec.path != "cluster.dataFolder")
            CHECK(parseSettings(document.dump()).has_value());
    }
}

TEST_CASE("damaged settings do not crash the parser", "[settings][fuzz]")
{
    const std::string whole =
        with(R"({"log": {"format": "json"}, "leases": {"configurationMs": 5000},
                                       "cluster": {"replicas": ["127.0.0.1:7001"]}})");
    const unsigned seed = 20261203;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    int refused = 0;
    constexpr int rounds = 20000;
    for (int round = 0; round < rounds; ++round) {
        std::string damaged = whole;
        for (unsigned i = 0; i <= random() % 3; ++i)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            damaged.resize(random() % damaged.size());
        const auto settings = parseSettings(damaged);
        refused += settings.has_error() ? 1 : 0;
        if (settings.has_error())
            CHECK(settings.error().message.size() < 20000);
    }
    CHECK(refused > rounds / 2);
}

TEST_CASE("a number above the signed 64-bit range is not taken for a negative one", "[schema]")
{
    FieldSpec spec;
    spec.path = "offset";
    spec.type = FieldType::Integer;
    spec.minimum = -5;
    spec.maximum = 5;
    const auto problems = [&spec](const std::string &text) {
        return checkFields({spec}, nlohmann::json::parse(text)).size();
    };
    CHECK(problems(R"({"offset": -1})") == 0);
    CHECK(problems(R"({"offset": 18446744073709551615})") == 1);
    CHECK(problems(R"({"offset": -6})") == 1);
}
