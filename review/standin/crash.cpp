// Rule LOST: workers crash at random, one after the other; jobs that happen to run there are shown
// as failed although none of their tasks has ended "failed".
#include "fleet.h"

#include <random>

using namespace review;

namespace {

constexpr std::int64_t downMs = 1000; // of a crashed worker
constexpr std::int64_t crashEveryMs = 2200;
constexpr std::int64_t troubleMs = 82000;
constexpr std::int64_t jobEveryMs = 400;
constexpr unsigned defaultSeed = 1;

int failedEnds(const Fleet &fleet, const std::string &job)
{
    int count = 0;
    for (const RunSpan &span : fleet.history.all())
        count += span.task.compare(0, 16, job.substr(6)) == 0 && span.how == "failed" ? 1 : 0;
    return count;
}

int play(const std::string &program, const std::string &recordPath)
{
    Fleet fleet(program, recordPath, 10);
    if (!fleet.begin())
        return couldNotRun;
    fleet.startLoad(jobEveryMs, {{"TaskSpec", "work 16000"},
                                 {"Steps", Json::array({{{"TaskCount", 1},
                                                         {"Cpu", 2000},
                                                         {"MemMb", 512},
                                                         {"EstRuntimeMs", 16000}}})}});
    const char *given = std::getenv("SEED");
    std::mt19937 random(given == nullptr ? defaultSeed : std::stoul(given));
    int crashes = 0;
    const std::int64_t until = steadyMs() + troubleMs;
    while (steadyMs() < until) {
        const std::int64_t next = steadyMs() + crashEveryMs;
        if (hasTrouble()) {
            Worker &worker = *fleet.workers[random() % fleet.workers.size()];
            worker.crash();
            sleepMs(downMs);
            worker.start("i-" + std::to_string(2000 + ++crashes)); // another life at its address
        }
        sleepMs(next - steadyMs());
    }
    fleet.stopLoad();
    sleepMs(5000);
    const int ends = fleet.cell.unexpectedEnds();
    fleet.recordRuns();
    const auto jobs = fleet.acceptedJobs();
    std::map<std::string, int> states;
    int lost = 0;
    for (const std::string &job : jobs) {
        const std::string state = fleet.cell.state(job);
        ++states[state];
        const int failed = failedEnds(fleet, job);
        if (state != "failed" || failed > 0)
            continue;
        ++lost;
        fleet.record.line("LOST GET " + job + " -> failed; runs of its tasks that ended \"failed\": "
                          + std::to_string(failed));
    }
    for (const auto &[state, count] : states)
        fleet.record.line("jobs shown as " + state + ": " + std::to_string(count));
    fleet.record.line("jobs accepted " + std::to_string(jobs.size()) + ", crashes of workers "
                      + std::to_string(crashes) + ", shown as failed without cause "
                      + std::to_string(lost) + ", processes of the system that ended "
                      + std::to_string(ends));
    if (jobs.empty() || ends > 0)
        return couldNotRun;
    return lost > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, play);
}
