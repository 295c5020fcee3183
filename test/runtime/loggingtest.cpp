#include "runtime/logging.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

using namespace guavavalve;

namespace {

/// A temporary file that is removed on destruction.
class TemporaryFile
{
public:
    TemporaryFile()
    {
        const int file = mkstemp(this->path.data());
        REQUIRE(file >= 0);
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string firstLine() const
    {
        std::ifstream stream(this->path);
        std::string line;
        std::getline(stream, line);
        return line;
    }

    std::string path = "/tmp/guavavalve-log-XXXXXX";
};

} // namespace

TEST_CASE("A JSON log line is valid JSON whatever its fields contain")
{
    const TemporaryFile file;
    {
        LogOptions options;
        options.format = LogFormat::Json;
        options.file = file.path;
        const Logging logging(options);
        logEvent(LogLevel::Warning, "target quarantined",
                 {{"target", "press \"7\"\n"}, {"reason", std::string("\xff")}});
    }
    const nlohmann::json line = nlohmann::json::parse(file.firstLine());
    CHECK(line["level"] == "warning");
    CHECK(line["event"] == "target quarantined");
    CHECK(line["target"] == "press \"7\"\n");
    CHECK(line.contains("time"));
}

TEST_CASE("A text log line quotes fields that need it, and lines below the level are omitted")
{
    const TemporaryFile file;
    {
        LogOptions options;
        options.file = file.path;
        const Logging logging(options);
        logEvent(LogLevel::Debug, "not written");
        logEvent(LogLevel::Information, "leader", {{"instance", "r1"}, {"why", "a b"}});
    }
    CHECK(file.firstLine().find("leader instance=r1 why=\"a b\"") != std::string::npos);
}
