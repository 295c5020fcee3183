// Rule TWICE: a worker is restarted in place, as planned, under its Id; the call with which its
// earlier life left waits at a node that stands still, and is carried out when that node wakes.
#include "fleet.h"

#include <random>

using namespace review;

namespace {

constexpr std::int64_t freezeMs = 4000;
constexpr int rounds = 5;

/// False: nobody leads, or the drain was not acknowledged.
bool playRound(Fleet &fleet, int number)
{
    Worker &worker = *fleet.workers[static_cast<std::size_t>(number)];
    const std::string leader = fleet.cell.leader();
    std::vector<std::string> followers;
    for (const std::string &node : fleet.cell.control()) {
        if (node != leader)
            followers.push_back(node);
    }
    if (leader.empty())
        return false;
    std::shuffle(followers.begin(), followers.end(), std::mt19937(std::random_device()()));
    const std::string &frozenNode = followers[0];
    const std::string &goodNode = followers[1];
    const std::string path = worker.heartbeatPath();
    fleet.record.line("round " + std::to_string(number) + ": " + path + ", leading " + leader);

    worker.setManualHeartbeats(true);
    worker.setState("draining");
    if (fleet.cell.callControl(goodNode, "PUT", path, worker.nextHeartbeatBody()).status != 200)
        return false;
    fleet.record.line("drain acknowledged");
    const std::int64_t drainedBy = steadyMs() + 5000;
    sleepMs(2000);
    while (worker.running() > 0 && steadyMs() < drainedBy)
        sleepMs(10);
    const pid_t frozen = fleet.cell.node(frozenNode).pid;
    const std::int64_t wakeAt = steadyMs() + freezeMs;
    if (hasTrouble()) {
        fleet.record.line("SIGSTOP to " + fleet.cell.node(frozenNode).name);
        kill(frozen, SIGSTOP);
    }
    for (const std::string &node : {frozenNode, goodNode}) {
        const int status = fleet.cell.callControl(node, "DELETE", path, "").status;
        fleet.record.line("DELETE " + path + " at " + node + " -> " + std::to_string(status));
        if (status / 100 == 2)
            break;
    }
    worker.crash(); // nothing runs there: the process has ended
    sleepMs(300);
    worker.start(worker.currentId());
    worker.setManualHeartbeats(false);
    sleepMs(wakeAt - steadyMs());
    if (hasTrouble()) {
        fleet.record.line("SIGCONT to " + fleet.cell.node(frozenNode).name);
        kill(frozen, SIGCONT);
    }
    return true;
}

int play(const std::string &program, const std::string &recordPath)
{
    Fleet fleet(program, recordPath, 16);
    if (!fleet.begin())
        return couldNotRun;
    fleet.startLoad(132, {{"TaskSpec", "work 2000"},
                          {"Steps", Json::array({{{"TaskCount", 4},
                                                  {"Cpu", 4000},
                                                  {"MemMb", 512},
                                                  {"EstRuntimeMs", 2000}}})}});
    sleepMs(4000);
    int played = 0;
    for (int i = 0; i < rounds; ++i) {
        played += playRound(fleet, i) ? 1 : 0;
        sleepMs(6000);
    }
    fleet.stopLoad();
    sleepMs(8000);
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
