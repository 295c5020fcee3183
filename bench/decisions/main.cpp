#include "decisions/fairscheduler.h"
#include "decisions/firstfitscheduler.h"
#include "decisions/tracerecorder.h"
#include "measures.h"
#include "trial.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <string>

using namespace guavavalve;
using namespace guavavalve::bench;

namespace {

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

void printHeader()
{
    std::printf("%-11s %-9s %4s %-6s %9s %8s %8s %8s %6s %7s %7s %8s %8s %6s %7s %7s %6s %6s\n",
                "cell", "policy", "load", "faults", "placed/s", "dec p50", "p99 ms", "p99.9",
                "pack%", "share%", "worst%", "wait p50", "p99 ms", "over%", "running", "waiting",
                "preem", "quar");
}

void printRow(const Deployment &cell, const char *policy, const TrialSettings &settings,
              const TrialResult &result)
{
    std::printf(
        "%-11s %-9s %3.0f%% %-6s %9.0f %8.3f %8.3f %8.3f %6.1f %7.1f %7.1f %8.1f %8.1f "
        "%6.2f %7u %7u %6llu %6u%s\n",
        cell.name.c_str(), policy, settings.load * 100, settings.wrongSizes ? "x4+5%" : "none",
        static_cast<double>(result.placed) / std::max(result.schedulerSeconds, 1e-9),
        percentile(result.decideMs, 0.5), percentile(result.decideMs, 0.99),
        percentile(result.decideMs, 0.999), result.packing * 100, result.shareError * 100,
        result.shareErrorMax * 100, percentile(result.promptWaitMs, 0.5),
        percentile(result.promptWaitMs, 0.99), result.overused * 100, result.running,
        result.waiting, static_cast<unsigned long long>(result.preempted), result.quarantined,
        result.simulatedSeconds + 0.01 < settings.seconds ? "  (cut short)" : "");
    std::fflush(stdout);
}

void compare(const Deployment &cell, TrialSettings settings)
{
    FairScheduler fair;
    printRow(cell, "fair", settings, Trial(fair, cell, settings).run());
    FirstFitScheduler firstFit(2000);
    printRow(cell, "first-fit", settings, Trial(firstFit, cell, settings).run());
}

/// Compares both deployments at their actual size with the baseline on the same events.
void compareSmall(bool quick)
{
    for (const bool faults : {false, true}) {
        for (const double load : {0.5, 0.9, 1.5}) {
            for (const Deployment &cell : {brandvold(), cwmMeryw()}) {
                TrialSettings settings;
                settings.load = load;
                settings.wrongSizes = faults;
                settings.failingTargets = faults ? 0.05 : 0.0;
                settings.seconds = quick ? 70 : 240;
                settings.wallSeconds = quick ? 2 : 12;
                compare(cell, settings);
            }
        }
    }
}

/// Runs long enough for shares to settle after the cell has filled: a task runs for about a minute.
void measureShares(std::uint32_t targets)
{
    const Deployment smaller = largeFleet(targets, 350);
    TrialSettings settings;
    settings.load = 1.5;
    settings.seconds = 210;
    settings.warmUpSeconds = 170;
    settings.wallSeconds = 330;
    FairScheduler fair;
    printRow(smaller, "fair", settings, Trial(fair, smaller, settings).run());
}

/// Runs the design size. The baseline examines every target for every task, so its trial is cut
/// short.
void compareLarge(const std::vector<double> &loads)
{
    const Deployment cell = largeFleet(34000, 350);
    for (const double load : loads) {
        for (const bool faults : {false, true}) {
            TrialSettings settings;
            settings.load = load;
            settings.seconds = 100;
            settings.warmUpSeconds = 60;
            settings.wallSeconds = 150;
            settings.wrongSizes = faults;
            settings.failingTargets = faults ? 0.05 : 0.0;
            FairScheduler fair;
            printRow(cell, "fair", settings, Trial(fair, cell, settings).run());
        }
    }
    TrialSettings settings;
    settings.wallSeconds = 30;
    FirstFitScheduler firstFit(2000);
    printRow(cell, "first-fit", settings, Trial(firstFit, cell, settings).run());
}

constexpr double promptRunTimeFactor = 40.0;

/// Records a short trial of a deployment at its actual size, with wrong sizes and targets that fail
/// every task, and the outcomes that a replay must reach.
int writeTrace(Deployment cell, const std::string &path, double packing, double shareError,
               double promptWaitMs)
{
    std::ofstream file(path);
    FairScheduler fair;
    TraceRecorder recorder(fair, file, "fair");
    for (const char *breach : {"room-breaches", "limit-breaches", "double-placements"})
        recorder.expectAtMost(breach, 0);
    recorder.expectAtLeast("packing", packing);
    recorder.expectAtMost("share-error", shareError);
    recorder.expectAtMost("prompt-wait-p99-ms", promptWaitMs);
    recorder.expectAtLeast("quarantined", 1);
    // Fewer and longer prompt tasks, so that the trace stays small.
    for (WorkKind &kind : cell.kinds)
        kind.runSeconds *= kind.workClass == WorkClass::Prompt ? promptRunTimeFactor : 1.0;
    TrialSettings settings;
    settings.load = 1.2;
    settings.seconds = cell.name == "brandvold" ? 40 : 20;
    settings.tick = std::chrono::milliseconds(50);
    settings.wrongSizes = true;
    settings.failingTargets = 0.05;
    settings.seed = 4;
    Trial(recorder, cell, settings).run();
    file.flush();
    if (!file) {
        std::fprintf(stderr, "decisionsbench: cannot write %s\n", path.c_str());
        return 1;
    }
    return 0;
}

int writeTraces(const std::string &folder)
{
    const int brandvoldResult = writeTrace(brandvold(), folder + "/brandvold.jsonl", 0.8, 0.06, 20);
    const int cwmResult = writeTrace(cwmMeryw(), folder + "/cwm-meryw.jsonl", 0.75, 0.08, 10);
    return brandvoldResult + cwmResult;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 3 && std::strcmp(argv[1], "--write-traces") == 0)
        return writeTraces(argv[2]);
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    if (argc > 1 && std::strcmp(argv[1], "--threads") == 0) {
        measureThreads(false);
        return 0;
    }
    if (argc > 1 && std::strcmp(argv[1], "--shares") == 0) {
        printHeader();
        measureShares(argc > 2 ? static_cast<std::uint32_t>(std::atoi(argv[2])) : 34000);
        return 0;
    }
    const bool onlySmall = argc > 1 && std::strcmp(argv[1], "--small") == 0;
    const bool onlyLarge = argc > 1 && std::strcmp(argv[1], "--large") == 0;
    printHeader();
    if (!onlyLarge)
        compareSmall(quick);
    if (!quick && !onlySmall)
        compareLarge(argc > 2 ? std::vector<double>{std::atof(argv[2])}
                              : std::vector<double>{0.5, 0.9, 1.5});
    if (!onlyLarge) {
        if (!quick && !onlySmall)
            measureShares(34000);
        measureGrowth(quick);
        measureMemory();
        measureThreads(quick);
    }
    return 0;
}
