#include <catch2/catch.hpp>

#include "replicas/inmemorylog.h"

using namespace guavavalve;

namespace {

class Counter : public StateMachine
{
public:
    std::string apply(LogIndex index, const std::string &command) override
    {
        return command + "@" + std::to_string(index);
    }
    std::string takeSnapshot() override { return {}; }
    Result<void> restoreSnapshot(const std::string &) override
    {
        return boost::outcome_v2::success();
    }
};

} // namespace

TEST_CASE("an in-memory log applies commands immediately and rejects them when it does not lead",
          "[inmemorylog]")
{
    Counter machine;
    InMemoryLog log(machine);
    std::string outcome;
    log.propose("a", [&](Result<std::string> done) { outcome = done.value(); });
    CHECK(outcome == "a@1");
    log.setLeading(false);
    ErrorCode code = ErrorCode::Internal;
    log.propose("b", [&](Result<std::string> done) { code = done.error().code; });
    CHECK(code == ErrorCode::NotLeader);
    CHECK(log.status().applied == 1);
}
