// DRAIN: a worker's report "ready" is held up in the network. Meanwhile the worker begins to drain,
// which is acknowledged, and the leader is killed. The late report then reaches the new leader,
// which has seen no Sequence of that worker yet.

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr std::int64_t drainMs = 2000; // Bounds.DrainMs
    constexpr std::int64_t contactMs = 3000; // Bounds.ContactMs
    constexpr std::int64_t heldUpMs = 5500; // the longest cut of the site file: for_s = 5.5
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};

    cell.startAll();
    Worker leaving(record, "i-000000d1", cell.workerAddress(0), "zone-a", 4000);
    Worker staying(record, "i-000000d2", cell.workerAddress(1), "zone-b", 4000);
    // On the leaving worker tasks take 2 s, so that it has room while it drains.
    leaving.work = [](const std::string &, std::int64_t) { return Work{2000, "done"}; };
    staying.work = [](const std::string &, std::int64_t) { return Work{60000, "done"}; };
    if (!leaving.listens() || !staying.listens() || cell.putConfig(configuration(1, 2)) != 200)
        return notRun;
    Reporter other(cell, staying, {0, 1, 2, 3, 4});
    other.run();
    const int leader = cell.awaitLeader(-1, 10000);
    if (leader < 0)
        return notRun;
    // The leaving worker reports to the leader; its first choice is a node that does not lead.
    const int first = (leader + 1) % Cell::replicas;
    Reporter reporter(cell, leaving,
                      {leader, (leader + 2) % Cell::replicas, (leader + 3) % Cell::replicas});
    reporter.beat();
    sleepMs(4000);
    if (!cell.submit(
            "/one/00000000000000d1", key,
            {{"TaskSpec", "spec"},
             {"Steps",
              {{{"TaskCount", 12}, {"Cpu", 2000}, {"MemMb", 64}, {"EstRuntimeMs", 60000}}}}}))
        return notRun;
    sleepMs(500);

    // A report "ready" to a node that does not lead: its path is cut, and it arrives after the cut.
    std::string late;
    std::thread network;
    std::atomic<std::int64_t> arrivedAt{0};
    const std::int64_t sentAt = nowMs();
    if (hasTrouble()) {
        late = leaving.report("ready");
        record.line("worker i-000000d1: report ready sequence "
                    + std::to_string(leaving.lastSequence()) + " to " + Cell::core(first)
                    + ", held up in the network");
        network = std::thread([&] {
            sleepMs(sentAt + heldUpMs - nowMs());
            const Response answer =
                call(cell.control(first), "PUT", "/instances/" + leaving.name(), {}, late, 2000);
            arrivedAt = nowMs();
            record.line("network: the report that was held up arrives, answered "
                        + std::to_string(answer.status));
        });
    }
    sleepMs(1000); // no answer within a second: the worker calls the next node, and begins to drain
    reporter.setState("draining");
    const int acknowledged = reporter.beat();
    const std::int64_t drainingAt = nowMs();
    std::int64_t stableAt = drainingAt;
    bool isRun = acknowledged == 200;
    if (isRun && hasTrouble()) {
        sleepMs(300);
        cell.signal(Cell::core(leader), SIGKILL, "killed");
        sleepMs(200);
        cell.start(Cell::core(leader), false);
        stableAt = nowMs() + contactMs;
        const int next = cell.awaitLeader(leader, 4000);
        isRun = next >= 0;
        record.line("the new leader is " + (isRun ? Cell::core(next) : std::string("unknown")));
        // The worker's node does not answer any more. It calls another one that does not lead.
        std::vector<int> nodes;
        for (int i = 0; i < Cell::replicas; ++i) {
            if (i != leader && i != next && i != first)
                nodes.push_back(i);
        }
        reporter.setNodes(nodes);
    }
    sleepMs(drainingAt + 1500 - nowMs()); // HeartbeatMs
    reporter.run(); // goes on to say that it drains
    sleepMs(drainingAt + 9000 - nowMs());
    reporter.stop();
    if (network.joinable())
        network.join();
    if (!isRun)
        return notRun;

    std::size_t lateStarts = 0;
    for (const Start &start : leaving.starts()) {
        const bool isLate = start.atMs > drainingAt + drainMs && start.atMs >= stableAt;
        lateStarts += isLate ? 1 : 0;
        if (isLate)
            record.line("a start " + std::to_string(start.atMs - drainingAt)
                        + " ms after the acknowledgement that the worker drains, "
                        + std::to_string(start.atMs - stableAt + contactMs)
                        + " ms after the last disruption of the core");
    }
    record.line("starts on the draining worker later than DrainMs, with the core stable: "
                + std::to_string(lateStarts));
    record.line(lateStarts > 0 ? "DRAIN broken" : "DRAIN held");
    return lateStarts > 0 ? broken : held;
}
