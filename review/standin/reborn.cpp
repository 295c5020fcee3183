// Rule TWICE: workers are cut off for 0.7 s, crash behind the cut, and start again under the same Id.
#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t cutMs = 700;
constexpr std::int64_t crashAfterMs = 100;
constexpr std::int64_t startAfterMs = 250;
constexpr int rounds = 10;
constexpr std::int64_t roundMs = 6000;

/// Cuts the worker off as its next order to start a task arrives; the order's answer is lost.
void cutOff(Fleet &fleet, Worker &worker)
{
    std::atomic<bool> isHit{false};
    worker.onStartOrder = [&isHit](Worker &hit, const std::string &) {
        if (isHit.exchange(true))
            return false;
        hit.cut(cutMs);
        return true;
    };
    const std::int64_t until = steadyMs() + 3000;
    while (!isHit && steadyMs() < until)
        sleepMs(1);
    if (isHit) {
        sleepMs(crashAfterMs);
        worker.crash();
        sleepMs(startAfterMs - crashAfterMs);
        worker.start(worker.currentId());
    }
    sleepMs(100);
    fleet.record.line(isHit ? "round done" : "round without a start order");
}

int play(const std::string &program, const std::string &recordPath)
{
    Fleet fleet(program, recordPath, 12);
    if (!fleet.begin())
        return couldNotRun;
    const Json job{{"TaskSpec", "work 2000"},
                   {"Steps", Json::array({{{"TaskCount", 2},
                                           {"Cpu", 4000},
                                           {"MemMb", 512},
                                           {"EstRuntimeMs", 2000}}})}};
    fleet.startLoad(150, job);
    sleepMs(4000);
    for (int i = 0; i < rounds; ++i) {
        const std::int64_t next = steadyMs() + roundMs;
        if (hasTrouble())
            cutOff(fleet, *fleet.workers[static_cast<std::size_t>(i)]);
        sleepMs(next - steadyMs());
    }
    fleet.stopLoad();
    sleepMs(8000);
    const int ends = fleet.cell.unexpectedEnds();
    fleet.recordRuns();
    const int twice = fleet.recordDoubleRuns();
    std::size_t completed = 0;
    const auto jobs = fleet.acceptedJobs();
    for (const std::string &path : jobs)
        completed += fleet.cell.state(path) == "completed" ? 1 : 0;
    fleet.record.line("jobs accepted " + std::to_string(jobs.size()) + ", completed "
                      + std::to_string(completed) + ", tasks in two runs at the same time "
                      + std::to_string(twice) + ", processes that ended " + std::to_string(ends));
    if (jobs.empty() || ends > 0)
        return couldNotRun;
    return twice > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, play);
}
