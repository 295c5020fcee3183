#include <catch2/catch.hpp>

#include "settings/loadsettings.h"
#include "state/clusterstate.h"

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

using namespace guavavalve;

namespace {

using Folder = std::filesystem::path;

/// The names in the settings files of one folder, and how many of the instances hold a replica.
struct LoadedSettings
{
    std::set<std::string> failureDomains;
    std::set<std::string> instances;
    int replicas = 0;
};

LoadedSettings loadAll(const Folder &folder)
{
    LoadedSettings loaded;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        const std::string name = file.path().filename().string();
        if (name.rfind("settings-", 0) != 0)
            continue;
        INFO(name);
        const auto settings = loadSettings(file.path().string());
        INFO((settings.has_error() ? settings.error().message : ""));
        REQUIRE(settings.has_value());
        loaded.failureDomains.insert(settings.value().failureDomain);
        CHECK(loaded.instances.insert(settings.value().instance).second);
        CHECK(settings.value().clusterId == folder.filename().string());
        loaded.replicas += settings.value().holdsReplica() ? 1 : 0;
    }
    return loaded;
}

/// Applies each section of the example configuration as an operator would, the cell's first.
ClusterState applyConfiguration(const Folder &folder)
{
    std::ifstream file(folder / "configuration.json");
    std::stringstream text;
    text << file.rdbuf();
    JsonDocument document = parseJson(text.str(), std::size_t{1} << 20);
    REQUIRE(document.problems.empty());

    ClusterState state;
    GrantKey grant;
    grant.requestId = "first key";
    grant.keyId = "operator";
    grant.role = KeyRole::Operator;
    grant.keyedHash = "hash";
    REQUIRE(state.apply(grant).has_value());
    for (const auto &[section, content] : document.value.items()) {
        INFO(section);
        WriteSection write;
        write.requestId = "write of " + section;
        write.section = section;
        write.author = "operator";
        write.content = content.dump();
        const CommandOutcome outcome = state.apply(write);
        INFO((outcome.has_error() ? outcome.error().message : ""));
        REQUIRE(outcome.has_value());
    }
    return state;
}

} // namespace

TEST_CASE("the examples of both deployments are accepted unchanged", "[examples]")
{
    const std::map<std::string, std::set<std::string>> domains{
        {"brandvold", {"regina", "saskatoon", "brandon"}},
        {"cwm-meryw", {"cymru-a", "cymru-b", "cymru-c", "cymru-d"}}};
    for (const auto &[name, expected] : domains) {
        INFO(name);
        const Folder folder = Folder(EXAMPLES_FOLDER) / name;
        const LoadedSettings loaded = loadAll(folder);
        CHECK(loaded.failureDomains == expected);
        CHECK(loaded.replicas == 3);
        const ClusterState state = applyConfiguration(folder);
        CHECK(state.teams().size() == 6);
        CHECK(state.configuration().cell().totalShares == 1000);
    }
}

TEST_CASE("a missing settings file is reported with its path", "[settings]")
{
    const auto settings = loadSettings("no/such/settings.json");
    REQUIRE(settings.has_error());
    CHECK(settings.error().code == ErrorCode::NotFound);
    CHECK(settings.error().message.find("no/such/settings.json") != std::string::npos);
}
