// Rule TWICE: the answer to the call with which a drained worker leaves is lost in a one-way cut.
// The worker ends some seconds later; its tasks are started elsewhere at once.
#include "fleet.h"

#include <random>

using namespace review;

namespace {

constexpr std::int64_t cutMs = 4000;
constexpr std::int64_t cutBeforeMs = 300; // from the begin of the cut until the worker leaves
constexpr std::int64_t endsAfterMs = 3000; // without an acknowledgement
constexpr int rounds = 5;

/// False: nobody leads, or the drain was not acknowledged.
bool playRound(Fleet &fleet, int number)
{
    // The worker with the most tasks, so that some are still at work when it leaves.
    Worker &worker = **std::max_element(
        fleet.workers.begin(), fleet.workers.end(),
        [](const auto &a, const auto &b) { return a->running() < b->running(); });
    std::vector<std::string> nodes = fleet.cell.control();
    std::shuffle(nodes.begin(), nodes.end(), std::mt19937(std::random_device()()));
    const std::string &node = nodes[0];
    const std::string path = worker.heartbeatPath();
    fleet.record.line("round " + std::to_string(number) + ": " + path);

    worker.setManualHeartbeats(true);
    worker.setState("draining");
    if (fleet.cell.callControl(node, "PUT", path, worker.nextHeartbeatBody()).status != 200)
        return false;
    fleet.record.line("drain acknowledged");
    sleepMs(2500); // DrainMs and a little longer
    if (hasTrouble()) {
        // One way: nothing reaches the worker, and what it sends on an open connection arrives.
        worker.cut(cutMs);
        sleepMs(cutBeforeMs);
    }
    const int status = fleet.cell.callControl(node, "DELETE", path, "").status;
    fleet.record.line("DELETE " + path + " at " + node + " -> " + std::to_string(status)
                      + (hasTrouble() ? ", the answer is lost" : ""));
    if (status / 100 != 2)
        return false;
    if (hasTrouble())
        sleepMs(endsAfterMs);
    worker.crash(); // the process ends, with all that runs on it
    sleepMs(2000);
    worker.start(worker.currentId() + "-next"); // another worker joins in its place
    worker.setManualHeartbeats(false);
    return true;
}

int play(const std::string &program, const std::string &recordPath)
{
    Fleet fleet(program, recordPath, 16);
    if (!fleet.begin())
        return couldNotRun;
    fleet.startLoad(300, {{"TaskSpec", "work 6000"},
                          {"Steps", Json::array({{{"TaskCount", 2},
                                                  {"Cpu", 4000},
                                                  {"MemMb", 512},
                                                  {"EstRuntimeMs", 6000}}})}});
    sleepMs(5000);
    int played = 0;
    for (int i = 0; i < rounds; ++i) {
        played += playRound(fleet, i) ? 1 : 0;
        sleepMs(4000);
    }
    fleet.stopLoad();
    sleepMs(10000);
    const int ends = fleet.cell.unexpectedEnds();
    fleet.recordRuns();
    const int twice = fleet.recordDoubleRuns();
    fleet.record.line("rounds " + std::to_string(played) + ", jobs accepted "
                      + std::to_string(fleet.acceptedJobs().size())
                      + ", tasks in two runs at the same time " + std::to_string(twice)
                      + ", processes that ended " + std::to_string(ends));
    if (played == 0 || ends > 0)
        return couldNotRun;
    return twice > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, play);
}
