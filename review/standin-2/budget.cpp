// BUDGET: a route is dropped by one configuration and added again by the next, while a task of its
// queue is at work. An end "failed" that is taken note of in between does not use up the attempts.

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr int attempts = 2;
    const std::string job = "/one/00000000000000b1";
    const std::string task = "00000000000000b1.0.0.0";
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};

    cell.startAll();
    Worker worker(record, "i-000000b1", cell.workerAddress(0), "zone-a", 4000);
    // The first run fails at once, all later ones after 4 s.
    worker.work = [](const std::string &, std::int64_t run) {
        return Work{run == 1 ? 300 : 4000, "failed"};
    };
    if (!worker.listens() || cell.putConfig(configuration(1, attempts)) != 200)
        return notRun;
    Reporter reporter(cell, worker, {0, 1, 2, 3, 4});
    reporter.run();
    sleepMs(4000);
    if (!cell.submit(
            job, key,
            {{"TaskSpec", "spec"},
             {"Steps",
              {{{"TaskCount", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstRuntimeMs", 1000}}}}}))
        return notRun;
    const std::int64_t until = nowMs() + 10000;
    while (worker.starts().size() < attempts && nowMs() < until)
        sleepMs(20);
    if (worker.starts().size() < attempts)
        return notRun;

    // The second run is at work. The operator drops the route, and adds it again unchanged.
    if (hasTrouble()) {
        json without = configuration(2, attempts);
        without["Routes"].erase(0);
        if (cell.putConfig(without) != 200)
            return notRun;
    }
    sleepMs(6000); // the second run has ended, and its end is taken note of
    if (hasTrouble() && cell.putConfig(configuration(3, attempts)) != 200)
        return notRun;
    sleepMs(8000);
    cell.request("GET", job, key, "");
    reporter.stop();

    std::size_t failed = 0;
    for (const End &end : worker.allEnds())
        failed += end.task == task && end.how == "failed" && end.isNoted ? 1 : 0;
    std::int64_t endOfLastAttempt = 0;
    std::size_t seen = 0;
    for (const End &end : worker.allEnds()) {
        if (end.task == task && end.how == "failed" && end.isNoted && ++seen == attempts)
            endOfLastAttempt = end.atMs;
    }
    std::size_t startsAfter = 0;
    for (const Start &start : worker.starts())
        startsAfter +=
            endOfLastAttempt != 0 && start.task == task && start.atMs > endOfLastAttempt ? 1 : 0;
    record.line("Attempts " + std::to_string(attempts) + ", ends failed and taken note of "
                + std::to_string(failed) + ", starts of the task after " + std::to_string(attempts)
                + " of these: " + std::to_string(startsAfter));
    record.line(startsAfter > 0 ? "BUDGET broken" : "BUDGET held");
    return startsAfter > 0 ? broken : held;
}
