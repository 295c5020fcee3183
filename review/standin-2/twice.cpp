// TWICE: a start gets no answer and is carried out 8 s later; meanwhile the worker crashes and
// starts again under its name. The lease of its first life runs out before it is back, so the task
// is started on another worker; then the late start reaches the second life.

#include "cell.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc != 3)
        return notRun;
    Record record(argv[2]);
    Cell cell(record, argv[1]);
    constexpr std::int64_t downMs = 4500; // srv_crash: for_s = 4.5
    constexpr std::int64_t lateMs = 8000; // applied_late: carried out 2 to 12 s later
    const std::string task = "00000000000000f1.0.0.0";
    const Headers key{{"X-Api-Key", "key-of-tenant-a-1"}};

    cell.startAll();
    Worker first(record, "i-000000f1", cell.workerAddress(0), "zone-a", 4000);
    Worker second(record, "i-000000f2", cell.workerAddress(1), "zone-b", 4000);
    first.work = [](const std::string &, std::int64_t) { return Work{14000, "done"}; };
    second.work = first.work;
    // One order to the first worker gets no answer: the start. The network holds it up.
    std::mutex mutex;
    std::string start;
    std::atomic<std::int64_t> startAt{0};
    if (hasTrouble()) {
        first.leavesUnanswered = [&](const std::string &path, const std::string &body) {
            if (path != "/run-start" || startAt != 0)
                return false;
            const std::lock_guard lock(mutex);
            start = body;
            startAt = nowMs();
            record.line("network: holds up /run-start to i-000000f1, which gets no answer: "
                        + body);
            return true;
        };
    }
    if (!first.listens() || !second.listens() || cell.putConfig(configuration(1, 2)) != 200)
        return notRun;
    Reporter reporter(cell, first, {0, 1, 2, 3, 4});
    reporter.run();
    sleepMs(6000);
    if (!cell.submit(
            "/one/00000000000000f1", key,
            {{"TaskSpec", "spec"},
             {"Steps",
              {{{"TaskCount", 1}, {"Cpu", 1000}, {"MemMb", 64}, {"EstRuntimeMs", 14000}}}}}))
        return notRun;
    Reporter other(cell, second, {1, 2, 3, 4, 0});
    if (hasTrouble()) {
        const std::int64_t until = nowMs() + 3000;
        while (startAt == 0 && nowMs() < until)
            sleepMs(1);
        if (startAt == 0)
            return notRun;
        reporter.stop();
        sleepMs(100);
        first.crash();
        const std::int64_t backAt = nowMs() + downMs;
        other.run(); // another worker reports for the first time
        sleepMs(backAt - nowMs());
        first.start();
        Reporter again(cell, first, {0, 1, 2, 3, 4});
        again.run();
        sleepMs(startAt + lateMs - nowMs());
        {
            const std::lock_guard lock(mutex);
            record.line("network: the start that was held up arrives at the address of i-000000f1");
            const Response answer = call(cell.workerAddress(0), "POST", "/run-start",
                                         {{"X-Expected-Instance", "i-000000f1"}}, start, 1000);
            record.line("network: it is answered " + std::to_string(answer.status) + " "
                        + answer.body);
        }
        sleepMs(6000);
        again.stop();
    } else {
        other.run();
        sleepMs(18000);
    }
    other.stop();
    reporter.stop();

    struct Span
    {
        std::string worker;
        std::int64_t run;
        std::int64_t from;
        std::int64_t to;
    };
    std::vector<Span> spans;
    for (Worker *worker : {&first, &second}) {
        for (const Start &one : worker->starts()) {
            Span span{one.worker, one.run, one.atMs, nowMs()};
            for (const End &end : worker->allEnds()) {
                if (end.task == one.task && end.run == one.run && end.atMs >= one.atMs)
                    span.to = std::min(span.to, end.atMs);
            }
            if (one.task == task)
                spans.push_back(span);
        }
    }
    std::int64_t both = 0;
    for (std::size_t i = 0; i < spans.size(); ++i) {
        for (std::size_t k = i + 1; k < spans.size(); ++k)
            both = std::max(
                both, std::min(spans[i].to, spans[k].to) - std::max(spans[i].from, spans[k].from));
    }
    for (const Span &span : spans)
        record.line("run " + std::to_string(span.run) + " on " + span.worker + " worked for "
                    + std::to_string(span.to - span.from) + " ms");
    record.line("two runs of " + task + " at the same time for " + std::to_string(both) + " ms");
    record.line(both > 0 ? "TWICE broken" : "TWICE held");
    return both > 0 ? broken : held;
}
