// LIMIT: another writer sends one report under the name of a worker, with a service that no
// configuration names and the capacity of the whole machine. It names no worker to use, and the
// worker's own report holds.

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr std::int64_t capacity = 4000; // Capacity.Cpu, which the worker does not guard
    constexpr std::int64_t need = 1000;
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};

    cell.startAll();
    Worker worker(record, "i-000000c1", cell.workerAddress(0), "zone-a", capacity);
    worker.work = [](const std::string &, std::int64_t) { return Work{5000, "done"}; };
    if (!worker.listens() || cell.putConfig(configuration(1, 2)) != 200)
        return notRun;
    Reporter reporter(cell, worker, {0, 1, 2, 3, 4});
    reporter.run();
    sleepMs(5000);
    if (hasTrouble()) {
        json other = json::parse(worker.report("ready"));
        other["Service"] = "agent-of-the-machine";
        other["Capacity"]["Cpu"] = 16000;
        const Response answer =
            call(cell.control(1), "PUT", "/instances/" + worker.name(), {}, other.dump(), 1000);
        record.line("another writer: " + other.dump() + " answered "
                    + std::to_string(answer.status));
    }
    if (!cell.submit(
            "/one/00000000000000c1", key,
            {{"TaskSpec", "spec"},
             {"Steps",
              {{{"TaskCount", 12}, {"Cpu", need}, {"MemMb", 64}, {"EstRuntimeMs", 5000}}}}}))
        return notRun;
    std::int64_t most = 0;
    const std::int64_t until = nowMs() + 22000;
    while (nowMs() < until) {
        most =
            std::max<std::int64_t>(most, static_cast<std::int64_t>(worker.runningCount()) * need);
        sleepMs(5);
    }
    cell.request("GET", "/one/00000000000000c1", key, "");
    reporter.stop();
    record.line("Capacity.Cpu " + std::to_string(capacity) + ", at most at work at once "
                + std::to_string(most));
    record.line(most > capacity ? "LIMIT broken" : "LIMIT held");
    return most > capacity ? broken : held;
}
