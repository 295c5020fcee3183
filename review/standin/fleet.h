// A cell with stand-in workers, and a steady load of jobs; the base of the scripts' programs.
#pragma once

#include "cell.h"
#include "worker.h"

namespace review {

/// Exit codes of the scripts.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

class Fleet
{
public:
    Fleet(const std::string &program, const std::string &recordPath, int workerCount,
          WorkerOptions common = {})
        : record(recordPath)
        , cell(program, this->record)
    {
        common.service = Cell::service;
        common.control = this->cell.control();
        common.controlPort = this->cell.controlPort();
        common.port = this->cell.workerPort();
        for (int i = 0; i < workerCount; ++i) {
            WorkerOptions one = common;
            one.id = "i-" + std::to_string(1000 + i);
            one.ip = this->cell.ip(51 + i);
            one.zone = Cell::zone(i);
            one.labels.push_back("w" + std::to_string(i));
            one.labels.push_back("r" + std::to_string(1 + i % 3) + "-1");
            this->workers.push_back(std::make_unique<Worker>(
                one, this->history, [this](const std::string &text) { this->record.line(text); }));
        }
    }

    ~Fleet() { this->stopLoad(); }

    /// Starts the workers and sends the first configuration. False: the cell does not start.
    bool begin()
    {
        if (!this->cell.configure(Cell::configuration(1), 20000))
            return false;
        for (const auto &worker : this->workers)
            worker->start(worker->currentId());
        sleepMs(3000);
        return this->cell.unexpectedEnds() == 0;
    }

    static std::string jobId(std::uint64_t number)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx",
                      static_cast<unsigned long long>(number * 0x9E3779B97F4A7C15ULL));
        return text;
    }

    /// Hands in a job each \a everyMs until stopLoad().
    void startLoad(std::int64_t everyMs, const Json &job)
    {
        this->loading = true;
        this->load = std::thread([this, everyMs, job] {
            std::vector<std::thread> calls;
            while (this->loading) {
                const std::string path = "/jobs/" + jobId(++this->jobsSent);
                calls.emplace_back([this, path, job] {
                    if (!this->cell.submit(path, job))
                        return;
                    const std::lock_guard lock(this->mutex);
                    this->accepted.push_back(path);
                });
                sleepMs(everyMs);
            }
            for (std::thread &call : calls)
                call.join();
        });
    }
    void stopLoad()
    {
        this->loading = false;
        if (this->load.joinable())
            this->load.join();
    }
    std::vector<std::string> acceptedJobs()
    {
        const std::lock_guard lock(this->mutex);
        return this->accepted;
    }

    void recordRuns()
    {
        for (const RunSpan &span : this->history.all()) {
            this->record.line("run " + span.task + " #" + std::to_string(span.run) + " on "
                              + span.worker + " from " + std::to_string(this->record.at(span.from))
                              + " to "
                              + (span.to == 0 ? "-" : std::to_string(this->record.at(span.to))) + " "
                              + span.how);
        }
    }

    /// Records each pair of runs of one task that overlap, and returns their number.
    int recordDoubleRuns()
    {
        std::map<std::string, std::vector<RunSpan>> byTask;
        for (const RunSpan &span : this->history.all())
            byTask[span.task].push_back(span);
        const std::int64_t now = steadyMs();
        int twice = 0;
        for (const auto &[task, spans] : byTask) {
            for (std::size_t a = 0; a < spans.size(); ++a) {
                for (std::size_t b = a + 1; b < spans.size(); ++b) {
                    const std::int64_t from = std::max(spans[a].from, spans[b].from);
                    const std::int64_t to = std::min(spans[a].to == 0 ? now : spans[a].to,
                                                     spans[b].to == 0 ? now : spans[b].to);
                    if (to <= from)
                        continue;
                    ++twice;
                    this->record.line("TWICE " + task + ": run " + std::to_string(spans[a].run)
                                      + " on " + spans[a].worker + " and run "
                                      + std::to_string(spans[b].run) + " on " + spans[b].worker
                                      + " for " + std::to_string(to - from) + " ms, from "
                                      + std::to_string(this->record.at(from)));
                }
            }
        }
        return twice;
    }

    Record record;
    Cell cell;
    History history;
    std::vector<std::unique_ptr<Worker>> workers;

private:
    std::mutex mutex;
    std::atomic<bool> loading{false};
    std::atomic<std::uint64_t> jobsSent{0};
    std::thread load;
    std::vector<std::string> accepted;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

/// Runs \a play with the program and the record's path from the command line.
inline int runScript(int argc, char **argv,
                     const std::function<int(const std::string &, const std::string &)> &play)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s PROGRAM RECORD\n", argv[0]);
        return couldNotRun;
    }
    // Ends this process, and with it those that it started, if it takes too long.
    signal(SIGALRM, [](int) { _exit(couldNotRun); });
    alarm(118);
    try {
        return play(argv[1], argv[2]);
    } catch (const std::exception &problem) {
        std::fprintf(stderr, "could not run: %s\n", problem.what());
        return couldNotRun;
    }
}

} // namespace review
