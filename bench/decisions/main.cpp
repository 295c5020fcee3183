#include "decisions/fairscheduler.h"
#include "decisions/firstfitscheduler.h"
#include "trial.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <memory>

using namespace guavavalve;
using namespace guavavalve::bench;

namespace {

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
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

} // namespace

int main(int argc, char **argv)
{
    const bool quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
    printHeader();
    if (argc > 1 && std::strcmp(argv[1], "--large") == 0) {
        const Deployment cell =
            largeFleet(argc > 3 ? static_cast<std::uint32_t>(std::atoi(argv[3])) : 34000, 350);
        TrialSettings settings;
        settings.load = argc > 2 ? std::atof(argv[2]) : 1.5;
        settings.seconds = 90;
        settings.warmUpSeconds = 45;
        settings.wallSeconds = 120;
        FairScheduler fair;
        printRow(cell, "fair", settings, Trial(fair, cell, settings).run());
        return 0;
    }
    for (const bool faults : {false, true}) {
        for (const double load : {0.5, 0.9, 1.5}) {
            for (const Deployment &cell : {brandvold(), cwmMeryw()}) {
                TrialSettings settings;
                settings.load = load;
                settings.wrongSizes = faults;
                settings.failingTargets = faults ? 0.05 : 0.0;
                settings.seconds = quick ? 90 : 240;
                settings.wallSeconds = quick ? 5 : 20;
                compare(cell, settings);
            }
        }
    }
    return 0;
}
