// Rule DRAIN: a heartbeat that was held up on its way arrives after the worker's drain has been
// acknowledged and after the leading replica was restarted.
#include "fleet.h"

#include <random>

using namespace review;

namespace {

constexpr std::int64_t heldUpMs = 5500; // a worker's path to one node is cut for so long
constexpr std::int64_t drainMs = 2000; // DrainMs of the settings
constexpr int rounds = 5;

struct Round
{
    std::string worker;
    std::string task;
    std::int64_t acknowledgedAt = 0;
    bool isVoid = false;
};

/// Sends a heartbeat and returns the status.
int report(Fleet &fleet, const std::string &node, const std::string &path, const std::string &body)
{
    const Message answer = fleet.cell.callControl(node, "PUT", path, body);
    fleet.record.line("heartbeat " + body + " to " + node + " -> " + std::to_string(answer.status));
    return answer.status;
}

Round playRound(Fleet &fleet, int number)
{
    Round round;
    Worker &worker = *fleet.workers[static_cast<std::size_t>(number)];
    const std::string leader = fleet.cell.leader();
    std::vector<std::string> followers;
    for (const std::string &node : fleet.cell.control()) {
        if (node != leader)
            followers.push_back(node);
    }
    fleet.record.line("round " + std::to_string(number) + ", leading: " + leader);
    if (leader.empty()) {
        round.isVoid = true;
        return round;
    }
    std::shuffle(followers.begin(), followers.end(), std::mt19937(std::random_device()()));
    const std::string &cutOffNode = followers[0];
    const std::string &goodNode = followers[1];
    worker.setManualHeartbeats(true);
    round.worker = worker.currentId();
    const std::string path = worker.heartbeatPath();

    // The last heartbeat that says ready is held up on its way to one node.
    const std::string ready = worker.nextHeartbeatBody();
    const std::int64_t sentAt = steadyMs();
    fleet.record.line("heartbeat " + ready + " to " + cutOffNode + " is sent");
    if (!hasTrouble())
        report(fleet, cutOffNode, path, ready);
    sleepMs(1000); // without a response the worker turns to the next node
    worker.setState("draining");
    if (report(fleet, goodNode, path, worker.nextHeartbeatBody()) / 100 != 2) {
        round.isVoid = true;
        return round;
    }
    round.acknowledgedAt = steadyMs();
    std::atomic<bool> isOver{false};
    std::thread beats([&] {
        while (!isOver) {
            sleepMs(1500);
            report(fleet, goodNode, path, worker.nextHeartbeatBody());
        }
    });
    const std::string job = "/jobs/" + Fleet::jobId(0xD0000 + static_cast<std::uint64_t>(number));
    std::thread restart([&] {
        if (hasTrouble())
            fleet.cell.restart(leader);
    });
    // Work that only this worker may run waits meanwhile.
    sleepMs(1500);
    fleet.cell.submit(job,
                      {{"TaskSpec", "work 2000"},
                       {"Steps", Json::array({{{"TaskCount", 1},
                                               {"Cpu", 1000},
                                               {"MemMb", 256},
                                               {"EstRuntimeMs", 2000},
                                               {"Requirements", "w" + std::to_string(number)}}})}});
    round.task = job.substr(6) + ".0.0.0";
    sleepMs(sentAt + heldUpMs - steadyMs());
    if (hasTrouble()) {
        const std::string newLeader = fleet.cell.leader();
        fleet.record.line("leading now: " + newLeader + "; the held up heartbeat arrives");
        // Judged only if the replica that starts tasks has not been cut off from anything.
        round.isVoid = newLeader == cutOffNode;
        report(fleet, cutOffNode, path, ready);
    }
    sleepMs(2500);
    isOver = true;
    beats.join();
    restart.join();
    // The worker leaves, and another one with the label takes the waiting work.
    worker.crash();
    fleet.cell.callControl(goodNode, "DELETE", path, "");
    sleepMs(300);
    worker.start(round.worker + "-next");
    worker.setManualHeartbeats(false);
    return round;
}

int play(const std::string &program, const std::string &recordPath)
{
    Fleet fleet(program, recordPath, 8);
    if (!fleet.begin())
        return couldNotRun;
    std::vector<Round> played;
    for (int i = 0; i < rounds; ++i) {
        sleepMs(6000); // the core is stable, and the node that is cut off has heard nothing lately
        played.push_back(playRound(fleet, i));
    }
    sleepMs(6000);
    fleet.recordRuns();
    int late = 0;
    int valid = 0;
    for (const Round &round : played) {
        valid += round.isVoid ? 0 : 1;
        for (const RunSpan &span : fleet.history.all()) {
            const bool isHere = span.worker.compare(0, round.worker.size() + 1, round.worker + "@")
                == 0;
            if (round.isVoid || !isHere || span.from <= round.acknowledgedAt + drainMs)
                continue;
            ++late;
            fleet.record.line("DRAIN " + span.task + " started on " + span.worker + " "
                              + std::to_string(span.from - round.acknowledgedAt)
                              + " ms after its drain was acknowledged; it ended " + span.how);
        }
    }
    const int ends = fleet.cell.unexpectedEnds();
    fleet.record.line("rounds " + std::to_string(valid) + ", late starts on draining workers "
                      + std::to_string(late) + ", processes that ended " + std::to_string(ends));
    if (valid == 0 || ends > 0)
        return couldNotRun;
    return late > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    return runScript(argc, argv, play);
}
