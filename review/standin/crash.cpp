// Rule LOST: workers crash one after the other; jobs that happen to run there are shown as failed
// although none of their tasks has ended "failed".
#include "fleet.h"

using namespace review;

namespace {

constexpr std::int64_t downMs = 1000; // of a crashed worker
constexpr int crashesOfService = 3;
constexpr std::int64_t serviceAgeMs = 200; // of the task when its worker crashes
constexpr int crashesOfBatch = 5;
constexpr std::int64_t batchAgeMs = 1500;

/// Crashes the worker that runs \a task once the task is \a ageMs old; false: it is not running.
bool crashUnder(Fleet &fleet, const std::string &task, std::int64_t ageMs, int &lives)
{
    const std::int64_t until = steadyMs() + 8000;
    while (steadyMs() < until) {
        for (const auto &worker : fleet.workers) {
            const auto tasks = worker->tasks();
            const auto found = tasks.find(task);
            if (found == tasks.end() || found->second < ageMs)
                continue;
            worker->crash();
            sleepMs(downMs);
            worker->start("i-" + std::to_string(2000 + ++lives)); // another life at its address
            return true;
        }
        sleepMs(5);
    }
    return false;
}

std::string jobOf(std::uint64_t number)
{
    return "/jobs/" + Fleet::jobId(0xC0000 + number);
}

std::string firstTask(const std::string &job)
{
    return job.substr(6) + ".0.0.0";
}

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
    const Json step{{"TaskCount", 1}, {"Cpu", 2000}, {"MemMb", 512}, {"EstRuntimeMs", 8000}};
    Json lasting = step;
    lasting["LongRunning"] = true;
    const std::string service = jobOf(1);
    const std::string batch = jobOf(2);
    const std::string quiet = jobOf(3);
    const bool isAccepted =
        fleet.cell.submit(service, {{"TaskSpec", "lasts"}, {"Steps", Json::array({lasting})}})
        && fleet.cell.submit(batch, {{"TaskSpec", "work 8000"}, {"Steps", Json::array({step})}})
        && fleet.cell.submit(quiet, {{"TaskSpec", "work 8000"}, {"Steps", Json::array({step})}});
    if (!isAccepted)
        return couldNotRun;
    int lives = 0;
    int crashes = 0;
    if (hasTrouble()) {
        for (int i = 0; i < crashesOfService; ++i)
            crashes += crashUnder(fleet, firstTask(service), serviceAgeMs, lives) ? 1 : 0;
        for (int i = 0; i < crashesOfBatch; ++i)
            crashes += crashUnder(fleet, firstTask(batch), batchAgeMs, lives) ? 1 : 0;
    }
    sleepMs(16000); // the cell has been calm for long enough to run the batch job
    fleet.recordRuns();
    const int ends = fleet.cell.unexpectedEnds();
    fleet.record.line("crashes of workers " + std::to_string(crashes)
                      + ", processes of the system that ended " + std::to_string(ends));
    if (ends > 0)
        return couldNotRun;
    bool isBroken = false;
    const auto check = [&](const std::string &job, const std::string &expected) {
        const std::string state = fleet.cell.state(job);
        const int failed = failedEnds(fleet, job);
        fleet.record.line("GET " + job + " -> " + state + ", expected " + expected
                          + "; ends of its tasks that are \"failed\": " + std::to_string(failed));
        if (state == "failed" && failed == 0) {
            isBroken = true;
            fleet.record.line("LOST " + job + " is shown as failed without cause");
        }
    };
    check(service, "running");
    check(batch, "completed");
    check(quiet, "completed");
    return isBroken ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, play);
}
