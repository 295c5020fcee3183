#include "operators/operatorfixture.h"
#include "tool/help.h"
#include "tool/toolmain.h"

#include <absl/flags/reflection.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace guavavalve;

namespace {

struct Outcome
{
    int code = 0;
    std::string out;
    std::string err;
};

Outcome run(const std::vector<std::string> &arguments)
{
    // Flags are global to the process, so those that one run sets are restored afterwards. The tool
    // itself does not do this, because restoring them writes to the standard error.
    const absl::FlagSaver saver;
    std::ostringstream out;
    std::ostringstream err;
    const int code = runTool(arguments, out, err);
    return {code, out.str(), err.str()};
}

/// Runs the tool against the server of \a fixture with \a key.
Outcome runWithKey(const OperatorFixture &fixture, const std::string &key,
                   std::vector<std::string> arguments)
{
    arguments.push_back("--server=" + fixture.address());
    arguments.push_back("--key=" + key);
    return run(arguments);
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
    {
        REQUIRE(mkstemp(this->path.data()) >= 0);
        std::ofstream(this->path) << content;
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path = "/tmp/guavavalve-tool-XXXXXX";
};

/// The first line of \a text, without its line end.
std::string trimmed(const std::string &text)
{
    return text.substr(0, text.find('\n'));
}

} // namespace

TEST_CASE("Every command of the tool has help that names its flags")
{
    for (const ToolCommand &command : toolCommands()) {
        INFO(command.name);
        std::vector<std::string> words;
        std::istringstream stream(command.name);
        for (std::string word; stream >> word;)
            words.push_back(word);
        words.emplace_back("--help");
        const Outcome outcome = run(words);
        CHECK(outcome.code == 0);
        CHECK(contains(outcome.out, command.summary));
        for (const std::string &flag : command.flags)
            CHECK(contains(outcome.out, "--" + flag.substr(0, flag.find('_'))));
        CHECK(contains(outcome.out, "Exit codes:"));
    }
}

TEST_CASE("An invalid command line is rejected with a message that names the mistake")
{
    CHECK(run({}).code == 2);
    CHECK(run({"config", "nonsense"}).code == 2);
    CHECK(contains(run({"status", "--nonsense=1"}).err, "there is no flag --nonsense"));
    CHECK(contains(run({"teams", "--timeout-ms=soon"}).err, "timeout"));
    CHECK(contains(run({"keys", "withdraw"}).err, "use: guavavalve keys withdraw KEYID"));
    CHECK(contains(run({"form", "a=1:2", "b=1:3"}).err, "odd number"));
    CHECK(run({"status", "--output=xml"}).code == 2);
}

TEST_CASE("The tool skips an unreachable entry instance and uses the next one")
{
    OperatorFixture fixture;
    fixture.makeOperator();
    const Outcome outcome = run({"keys", "list", "--key=" + fixture.operatorToken,
                                 "--server=127.0.0.1:1," + fixture.address()});
    CHECK(outcome.code == 0);
    CHECK(contains(outcome.out, "operator"));
    const Outcome none = run({"keys", "list", "--key=x:y", "--server=127.0.0.1:1"});
    CHECK(none.code == 5);
    CHECK(contains(none.err, "(ran: no)"));
}

TEST_CASE("The tool sets up a new cell, from forming the replica group to granting a team's key")
{
    OperatorFixture fixture;
    const Outcome formed =
        runWithKey(fixture, OperatorFixture::clusterToken(), {"form", "r1=127.0.0.1:7001"});
    CHECK(formed.code == 0);
    CHECK(fixture.formed == 1);
    const Outcome granted =
        runWithKey(fixture, OperatorFixture::clusterToken(), {"keys", "grant", "--role=operator"});
    REQUIRE(granted.code == 0);
    const std::string operatorKey = trimmed(granted.out);

    const TemporaryFile section(R"({"description":"mill orders","share":300})");
    CHECK(runWithKey(fixture, operatorKey, {"config", "check", "team.mill", section.path}).code
          == 0);
    const Outcome preview =
        runWithKey(fixture, operatorKey, {"config", "preview", "team.mill", section.path});
    CHECK(contains(preview.out, "300"));
    const Outcome set =
        runWithKey(fixture, operatorKey, {"config", "set", "team.mill", section.path});
    CHECK(set.code == 0);
    CHECK(contains(set.out, "team.mill is now version 1"));
    CHECK(contains(runWithKey(fixture, operatorKey, {"config", "show"}).out, "mill orders"));
    CHECK(contains(runWithKey(fixture, operatorKey, {"config", "history", "team.mill"}).out, "1 "));

    const Outcome team =
        runWithKey(fixture, operatorKey, {"keys", "grant", "--team=mill", "--label=floor 2"});
    REQUIRE(team.code == 0);
    const Outcome denied =
        runWithKey(fixture, trimmed(team.out), {"keys", "withdraw", operatorKey});
    CHECK(denied.code == 3);
    CHECK(contains(denied.err, "permission-denied"));
    CHECK(runWithKey(fixture, operatorKey, {"keys", "withdraw", trimmed(team.out)}).code == 0);
    CHECK(contains(runWithKey(fixture, operatorKey, {"keys", "list"}).out, "floor 2"));
    CHECK(runWithKey(fixture, trimmed(team.out), {"keys", "list"}).code == 3);
}

TEST_CASE("JSON output and exit codes distinguish a version conflict from a refusal")
{
    OperatorFixture fixture;
    fixture.makeOperator();
    const TemporaryFile section(R"({"description":"tours"})");
    const std::vector<std::string> set{
        "config", "set", "team.tours", section.path, "--base-version=0", "--output=json"};
    const Outcome first = runWithKey(fixture, fixture.operatorToken, set);
    REQUIRE(first.code == 0);
    CHECK(nlohmann::json::parse(first.out)["version"] == 1);
    const Outcome lost = runWithKey(fixture, fixture.operatorToken, set);
    CHECK(lost.code == 4);
    CHECK(nlohmann::json::parse(lost.err)["error"] == "conflict");
    const TemporaryFile wrong(R"({"share":"much"})");
    const Outcome refused =
        runWithKey(fixture, fixture.operatorToken, {"config", "set", "team.tours", wrong.path});
    CHECK(refused.code == 3);
    CHECK(contains(refused.err, "share"));
}

TEST_CASE("The status commands show the state of the cell")
{
    OperatorFixture fixture;
    fixture.makeOperator();
    fixture.instances = {{"e1", 0, true}};
    const Outcome status = runWithKey(fixture, fixture.operatorToken, {"status"});
    CHECK(status.code == 0);
    CHECK(contains(status.out, "leader"));
    CHECK(contains(status.out, "behind: e1"));
    CHECK(contains(status.out, "no tasks are waiting"));
    CHECK(runWithKey(fixture, fixture.operatorToken, {"teams"}).code == 0);
    CHECK(runWithKey(fixture, fixture.operatorToken, {"targets", "list"}).code == 0);
    CHECK(runWithKey(fixture, fixture.operatorToken, {"replicas", "status"}).code == 0);
    CHECK(runWithKey(fixture, fixture.operatorToken, {"config", "in-force"}).code == 0);
}

// Guards against writes that are repeated when a user applies a whole document, such as those in
// examples/, a second time after a lost connection.
TEST_CASE("A whole document is applied section by section and applying it again changes nothing")
{
    OperatorFixture fixture;
    fixture.makeOperator();
    const TemporaryFile document(
        R"({"team.mill":{"share":300},"cell":{"totalShares":500},"team.tours":{"share":100}})");
    CHECK(runWithKey(fixture, fixture.operatorToken, {"config", "check", document.path}).code == 0);
    const Outcome first =
        runWithKey(fixture, fixture.operatorToken, {"config", "apply", document.path});
    CHECK(first.code == 0);
    CHECK(first.out.find("cell is now") < first.out.find("team.mill is now"));
    const Outcome again =
        runWithKey(fixture, fixture.operatorToken, {"config", "apply", document.path});
    CHECK(again.code == 0);
    CHECK(again.out.empty());

    const TemporaryFile doubled(R"({"team.mill":{"share":1,"share":2}})");
    const Outcome refused =
        runWithKey(fixture, fixture.operatorToken, {"config", "apply", doubled.path});
    CHECK(refused.code == 3);
    CHECK(contains(refused.err, "share"));
}
