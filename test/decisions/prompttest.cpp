#include <catch2/catch.hpp>

#include "decisions/victimset.h"
#include "smallcell.h"

using namespace guavavalve;
using namespace guavavalve::testing;

// A prompt task is submitted while long batch tasks fill the cell. It must not wait for them to
// end; checkpointing a single task frees enough room.
TEST_CASE("prompt work gets room in a cell full of batch work", "[prompt]")
{
    SmallCell cell(4, 2);
    for (int i = 0; i < 8; ++i)
        cell.submit(1, WorkClass::Batch, 4000);
    cell.decide();
    REQUIRE(cell.checked.placed.size() == 8);
    const TaskId prompt = cell.submit(2, WorkClass::Prompt, 500);
    const auto decisions = cell.run(std::chrono::seconds(1));
    CHECK(cell.isPlaced(prompt));
    CHECK(countOf(decisions, DecisionKind::Checkpoint) == 1);
    CHECK(cell.checked.violation.empty());
}

// A target does not carry out a requested checkpoint. The request must be escalated to a stop.
TEST_CASE("a checkpoint that is not carried out is followed by a stop", "[prompt]")
{
    SmallCell cell(1, 1);
    cell.targetsObeyStops = false;
    const TaskId batch = cell.submit(1, WorkClass::Batch, 8000);
    cell.decide();
    cell.submit(1, WorkClass::Prompt, 500);
    const auto decisions = cell.run(std::chrono::seconds(15));
    REQUIRE(countOf(decisions, DecisionKind::Stop) == 1);
    CHECK(decisions.back().task == batch);
    CHECK(decisions.back().reason == Reason::RoomForPrompt);
}

// Prompt tasks arrive steadily while batch work fills all other room. Headroom is kept in
// proportion to their arrival rate, so that each starts immediately and nothing is preempted for
// it.
TEST_CASE("headroom follows the arrivals of prompt work", "[prompt]")
{
    SmallCell cell(12, 2);
    std::map<TaskId, Instant> prompts;
    std::size_t late = 0;
    const auto work = [&] {
        while (cell.checked.waiting.size() < 20)
            cell.submit(1, WorkClass::Batch, 1500);
        const auto placed = cell.checked.placed;
        for (const auto &[id, place] : placed) {
            const auto prompt = prompts.find(id);
            if (prompt == prompts.end()) {
                if (idValue(id) % 50
                    == static_cast<std::uint64_t>(cell.now.time_since_epoch().count() / 10000 % 50))
                    cell.end(id);
            } else if (cell.now - prompt->second >= std::chrono::milliseconds(100)) {
                cell.end(id);
                prompts.erase(prompt);
            }
        }
        const TaskId id = cell.submit(2, WorkClass::Prompt, 500);
        prompts[id] = cell.now;
    };
    cell.run(std::chrono::seconds(10), work);
    CHECK(cell.scheduler.statistics().headroomTargets > 0);
    for (int i = 0; i < 200; ++i) {
        cell.run(std::chrono::milliseconds(10), work);
        for (const auto &[id, task] : cell.checked.waiting)
            late += task.workClass == WorkClass::Prompt ? 1 : 0;
    }
    CHECK(late == 0);
    // Without further arrivals the headroom is released.
    prompts.clear();
    cell.run(std::chrono::minutes(2));
    CHECK(cell.scheduler.statistics().headroomTargets == 0);
}

TEST_CASE("the cheapest sufficient set of victims is found", "[prompt]")
{
    using internal::Victim;
    const auto room = [](std::int64_t cores) { return Resources{{cores, 0, 0, 0, 0}}; };
    const std::vector<Victim> victims{
        {0, room(1000), 1.0}, {1, room(2000), 5.0}, {2, room(3000), 4.0}, {3, room(500), 0.5}};
    const auto set = internal::cheapestSet(victims, room(3000));
    CHECK(set.sufficient);
    CHECK(set.tasks == std::vector<internal::Index>{2});
    CHECK_FALSE(internal::cheapestSet(victims, room(7000)).sufficient);
}

// Tasks use three times the processors they declared, which exceeds the target's capacity. A batch
// task must be throttled first, and checkpointed only if that does not help.
TEST_CASE("a task on an overused target is throttled before it is checkpointed", "[prompt]")
{
    SmallCell cell(1, 1);
    cell.submit(1, WorkClass::Batch, 2000);
    cell.submit(1, WorkClass::Batch, 2000);
    cell.decide();
    const auto report = [&cell] {
        for (const auto &[id, place] : cell.checked.placed)
            cell.scheduler.usageReported(id, Resources{{6000, 2000, 0, 1, 1}}, cell.now);
    };
    cell.run(std::chrono::seconds(2));
    report();
    const auto first = cell.run(std::chrono::milliseconds(100));
    REQUIRE(first.size() == 1);
    CHECK(first.front().kind == DecisionKind::Throttle);
    report(); // the target is still overused after the throttle
    const auto last = cell.run(std::chrono::milliseconds(100));
    REQUIRE(countOf(last, DecisionKind::Checkpoint) == 1);
    CHECK(last.front().task == first.front().task);
}
