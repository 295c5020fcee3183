#include <catch2/catch.hpp>

#include "smallcell.h"

#include <random>

using namespace guavavalve;
using namespace guavavalve::testing;

namespace {

/// Keeps small and large tasks of every class waiting for every team.
class Overload
{
public:
    explicit Overload(std::uint32_t seed)
        : cell(8, teams)
        , random(seed)
    {
        this->cell.policy.teams[2].weight = 5.0;
        this->cell.applyPolicy();
    }

    void run(Microseconds time)
    {
        this->cell.run(time, [this] { this->step(); });
    }

    Microseconds longestWait() const { return this->cell.now - this->since(this->oldest()); }

    TaskId oldest() const
    {
        TaskId oldest = this->cell.checked.waiting.begin()->first;
        for (const auto &[id, task] : this->cell.checked.waiting) {
            if (this->since(id) < this->since(oldest))
                oldest = id;
        }
        return oldest;
    }

    std::string describeOldest() const
    {
        const TaskRequest &task = this->cell.checked.waiting.at(this->oldest());
        return std::string(enumName(workClassNames, task.workClass)) + " of team "
            + std::to_string(idValue(task.team)) + " needs "
            + std::to_string(task.need[ResourceKind::MilliCores]) + ": "
            + (this->everStarted.count(task.id) != 0 ? "started before; " : "never started; ")
            + this->cell.scheduler.explain(task.id).text;
    }

    SmallCell cell;
    std::set<std::pair<TeamId, WorkClass>> started;
    std::set<TaskId> everStarted;

private:
    static constexpr std::uint32_t teams = 3;

    Instant since(TaskId task) const
    {
        const auto since = this->waitingSince.find(task);
        return since == this->waitingSince.end() ? this->cell.now : since->second;
    }

    void step()
    {
        std::map<std::pair<TeamId, WorkClass>, int> waiting;
        for (const auto &[id, task] : this->cell.checked.waiting) {
            ++waiting[{task.team, task.workClass}];
            this->waitingSince.emplace(id, this->cell.now);
        }
        for (std::uint32_t team = 1; team <= teams; ++team) {
            for (const auto &[workClass, name] : workClassNames) {
                if (waiting[{TeamId(team), workClass}] < 6)
                    this->submit(team, workClass);
            }
        }
        const auto placed = this->cell.checked.placed;
        for (const auto &[id, place] : placed) {
            this->started.insert({place.request.team, place.request.workClass});
            this->everStarted.insert(id);
            this->waitingSince.erase(id); // a preempted task starts a new wait
            if (this->random() % 200 == 0)
                this->cell.end(id); // tasks run for two seconds on average
        }
    }

    void submit(std::uint32_t team, WorkClass workClass)
    {
        const std::int64_t milliCores = this->random() % 8 == 0 ? 8000 : 1500;
        if (workClass == WorkClass::Gang)
            this->cell.submitGang(team, 3, 4000);
        else
            this->cell.submit(team, workClass, workClass == WorkClass::Prompt ? 500 : milliCores);
    }

    std::mt19937 random;
    std::map<TaskId, Instant> waitingSince;
};

} // namespace

// For twenty minutes every team submits more small and large tasks of every class than the cell can
// hold. No task may wait indefinitely, whatever the other teams submit.
TEST_CASE("no team and no class starves under overload", "[property]")
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        Overload overload(seed);
        overload.run(std::chrono::minutes(10));
        INFO("seed " << seed);
        CHECK(overload.started.size() == 12);
        const Microseconds first = overload.longestWait();
        overload.run(std::chrono::minutes(10));
        INFO("longest waits are " << first.count() << " and " << overload.longestWait().count()
                                  << " us, now " << overload.describeOldest());
        CHECK(overload.longestWait() < std::chrono::minutes(6));
        CHECK(overload.cell.checked.violation.empty());
    }
}
