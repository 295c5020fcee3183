// FAULT: two of the three seeds are removed for good half a second after the whole system has been
// started for the first time, and replaced by empty machines at other addresses. The system never
// serves a request.

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr std::int64_t removedAtMs = 400;
    constexpr std::int64_t replacedAfterMs = 1000; // replace_core: x = 1
    constexpr std::int64_t waitMs = 60000; // CatchupS is 4, RecoveryS is 12
    const std::vector<int> seeds{0, 5, 6};
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};

    cell.startAll();
    std::vector<int> machines{0, 1, 2, 3, 4};
    if (hasTrouble()) {
        sleepMs(removedAtMs);
        cell.signal(Cell::core(1), SIGKILL, "removed for good");
        cell.signal(Cell::core(2), SIGKILL, "removed for good");
        sleepMs(replacedAfterMs);
        cell.start(Cell::core(5), false, seeds);
        cell.start(Cell::core(6), false, seeds);
        for (const char *name : {"core-0", "core-3", "core-4", "edge-0", "edge-1"})
            cell.turnOver(name, seeds);
        machines = {0, 3, 4, 5, 6};
    }
    Worker worker(record, "i-000000a1", cell.workerAddress(0), "zone-a", 4000);
    worker.work = [](const std::string &, std::int64_t) { return Work{500, "done"}; };
    if (!worker.listens())
        return notRun;
    Reporter reporter(cell, worker, machines);
    reporter.run();
    // The operator sends the first configuration again until it is acknowledged.
    const std::int64_t begin = nowMs();
    std::map<int, int> answers;
    bool isAcknowledged = false;
    for (std::size_t i = 0; !isAcknowledged && nowMs() < begin + waitMs; ++i) {
        const int node = machines[i % machines.size()];
        const int status =
            call(cell.control(node), "PUT", "/config", {}, configuration(1, 2).dump(), 1000).status;
        ++answers[status];
        isAcknowledged = status == 200;
        sleepMs(isAcknowledged ? 0 : 200);
    }
    for (const auto &[status, count] : answers)
        record.line("operator: PUT /config answered " + std::to_string(status) + ": "
                    + std::to_string(count) + " times");
    record.line("the first configuration was " + std::string(isAcknowledged ? "" : "not ")
                + "acknowledged within " + std::to_string(nowMs() - begin) + " ms");
    sleepMs(isAcknowledged ? 2000 : 0);
    int served = 0;
    for (int i = 0; i < 6; ++i) {
        const std::string job = "/one/00000000000000a" + std::to_string(i);
        served +=
            cell.request(
                    "POST", job, key,
                    R"({"TaskSpec":"spec","Steps":[{"TaskCount":1,"Cpu":100,"MemMb":64,"EstRuntimeMs":500}]})",
                    "shop.example", i % Cell::entries)
                    .status
                == 200
            ? 1
            : 0;
    }
    reporter.stop();
    record.line("requests served: " + std::to_string(served) + " of 6");
    const bool isBroken = !isAcknowledged && served == 0;
    record.line(isBroken ? "FAULT broken" : "FAULT held");
    return isBroken ? broken : held;
}
