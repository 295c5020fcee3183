// LOST: the worker that a task that lasts needs crashes three times, each time half a second after
// it is back and has started the task. The job is then shown as failed, though no run has ended
// "failed".

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr int crashes = 3;
    constexpr std::int64_t downMs = 4500; // srv_crash: for_s = 4.5
    constexpr std::int64_t upMs = 450;
    const std::string job = "/one/00000000000000e1";
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};
    const std::vector<int> nodes{0, 1, 2, 3, 4};

    cell.startAll();
    Worker worker(record, "i-000000e1", cell.workerAddress(0), "zone-a", 4000);
    worker.work = [](const std::string &, std::int64_t) { return Work{600000, "done"}; };
    if (!worker.listens() || cell.putConfig(configuration(1, 2)) != 200)
        return notRun;
    auto reporter = std::make_unique<Reporter>(cell, worker, nodes);
    reporter->run();
    sleepMs(5000);
    if (!cell.submit(
            job, key,
            {{"TaskSpec", "spec"},
             {"Steps", {{{"TaskCount", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"LongRunning", true}}}}}))
        return notRun;
    for (int i = 0; hasTrouble() && i < crashes; ++i) {
        const std::size_t before = worker.starts().size();
        const std::int64_t until = nowMs() + 8000;
        while (static_cast<int>(worker.starts().size()) <= i && nowMs() < until)
            sleepMs(5);
        record.line("starts of the task so far: " + std::to_string(worker.starts().size())
                    + ", before " + std::to_string(before));
        sleepMs(upMs);
        reporter.reset();
        worker.crash();
        sleepMs(downMs);
        worker.start();
        reporter = std::make_unique<Reporter>(cell, worker, nodes);
        reporter->run(); // it reports itself as soon as it is up
    }
    sleepMs(10000); // the worker is sound from now on
    const Response state = cell.request("GET", job, key, "");
    sleepMs(5000);
    const Response later = cell.request("GET", job, key, "", "shop.example", 1);
    reporter.reset();
    std::size_t failed = 0;
    for (const End &end : worker.allEnds())
        failed += end.how == "failed" ? 1 : 0;
    record.line("runs started " + std::to_string(worker.starts().size()) + ", ends failed "
                + std::to_string(failed) + ", at work now "
                + std::to_string(worker.runningCount()));
    bool isBroken = false;
    for (const Response *one : {&state, &later})
        isBroken |=
            one->status == 200 && one->body.find("\"failed\"") != std::string::npos && failed == 0;
    record.line(isBroken ? "LOST broken" : "LOST held");
    return isBroken ? broken : held;
}
