#include "workflows/log/decisionlog.h"

#include "journal/checksum.h"
#include "runtime/logging.h"
#include "runtime/loglimiter.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace guavavalve::workflows {

namespace {

/// Targets listed in one line about speeds.
constexpr std::size_t maxListedGrades = 50;
constexpr double percent = 100.0;
/// One line in this time for all reports that claim a later start.
constexpr Milliseconds claimLogInterval{250};

std::string stepName(const StepAddress &step)
{
    return workflowName(step.workflow) + "." + std::to_string(step.occurrence) + "."
        + std::to_string(step.step);
}

std::string taskName(const TaskAddress &task)
{
    return stepName(task.step) + "." + std::to_string(task.index);
}

} // namespace

std::string workflowName(WorkflowId id)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(idValue(id)));
    return text.data();
}

void logPlaced(const PlaceRuns &command, const std::string &queue, const std::string &account,
               std::int64_t version, std::int64_t ageMs, const WaitTimes &waited,
               std::uint32_t estimatedMs)
{
    std::string places;
    for (const Placement &placement : command.placements) {
        places += (places.empty() ? "" : ",") + std::to_string(placement.index) + "@"
            + std::to_string(idValue(placement.incarnation));
    }
    logEvent(LogLevel::Information, "placed",
             {{"step", stepName(command.step)},
              {"run", std::to_string(command.run)},
              {"queue", queue},
              {"account", account},
              {"version", std::to_string(version)},
              {"ageMs", std::to_string(ageMs)},
              {"waitedMs", describe(waited)},
              {"estimatedMs", std::to_string(estimatedMs)},
              {"lives", places}});
}

void logWorkflowEnded(const Workflow &workflow, std::int64_t atMs)
{
    logEvent(LogLevel::Information, "job-over",
             {{"job", workflowName(workflow.spec.id)},
              {"state", std::string(enumName(workflowStateNames, workflow.state()))},
              {"tookMs", std::to_string(atMs - workflow.spec.dueAtMs(0))}});
}

void logStoppingRuns(WorkflowId id, std::string_view why, std::size_t tasks)
{
    logEvent(
        LogLevel::Information, "stopping-runs",
        {{"job", workflowName(id)}, {"why", std::string(why)}, {"tasks", std::to_string(tasks)}});
}

void logTargetUsable(const TargetIdentity &target, bool isUsable, const TargetStanding &standing)
{
    const auto yesNo = [](bool value) { return std::string(value ? "yes" : "no"); };
    logEvent(LogLevel::Information, isUsable ? "target-usable" : "target-unusable",
             {{"target", target.name},
              {"ready", yesNo(standing.reportsReady)},
              {"listed", yesNo(standing.hasRunList)},
              {"fenced", yesNo(standing.isFenced)},
              {"failures", std::to_string(standing.failures)},
              {"foreign", std::to_string(standing.foreignRuns)},
              {"unsettled", std::to_string(standing.unsettledRuns)},
              {"answerAgeMs", std::to_string(standing.answerAge.count())}});
}

void logPlan(const PlanSummary &summary, std::size_t queries, std::size_t live, std::size_t resting)
{
    std::string waiting;
    for (const auto &[priority, tasks] : summary.waitingTasks) {
        waiting +=
            (waiting.empty() ? "" : ",") + std::to_string(priority) + ":" + std::to_string(tasks);
    }
    logEvent(LogLevel::Information, "plan",
             {{"waiting", waiting},
              {"openTargets", std::to_string(summary.openTargets)},
              {"restingTargets", std::to_string(resting)},
              {"freeMilliCores", std::to_string(summary.free[ResourceKind::MilliCores])},
              {"freeMemoryMb", std::to_string(summary.free[ResourceKind::MemoryMb])},
              {"capacityMilliCores", std::to_string(summary.capacity[ResourceKind::MilliCores])},
              {"idleMilliCores", std::to_string(summary.idleMilliCores)},
              {"claimedMilliCores", std::to_string(summary.claimedMilliCores)},
              {"savedMilliCores", std::to_string(summary.reservedMilliCores)},
              {"questions", std::to_string(queries)},
              {"live", std::to_string(live)}});
}

void logBeyondShare(const std::vector<AccountStanding> &beyond)
{
    if (beyond.empty())
        return;
    std::string accounts;
    for (const AccountStanding &one : beyond) {
        std::array<char, 96> shares{};
        std::snprintf(shares.data(), shares.size(), " due=%.3f placed=%.3f recent=%.3f waiting=%zu",
                      one.due, one.placed, one.recent, one.waitingTasks);
        accounts += (accounts.empty() ? "" : ", ") + one.account + "/" + one.queue + shares.data();
    }
    logEvent(LogLevel::Information, "beyond-share", {{"accounts", accounts}});
}

void logLoopLag(Milliseconds lag)
{
    logEvent(LogLevel::Warning, "loop-late", {{"lagMs", std::to_string(lag.count())}});
}

void logPlacementRejected(const PlaceRuns &command, CommandOutcome outcome)
{
    logEvent(LogLevel::Warning, "placement-dropped",
             {{"step", stepName(command.step)},
              {"run", std::to_string(command.run)},
              {"outcome", std::string(enumName(commandOutcomeNames, outcome))}});
}

void logRunsEnded(IncarnationId incarnation, const std::vector<RunEnd> &ends)
{
    std::string runs;
    for (const RunEnd &end : ends) {
        runs += (runs.empty() ? "" : ",") + taskName(end.task) + "#" + std::to_string(end.run) + "="
            + std::string(enumName(runOutcomeNames, end.outcome));
    }
    logEvent(LogLevel::Information, "runs-over",
             {{"life", std::to_string(idValue(incarnation))}, {"runs", runs}});
}

void logRunMoved(IncarnationId incarnation, const TaskAddress &task)
{
    logEvent(LogLevel::Information, "run-moved",
             {{"life", std::to_string(idValue(incarnation))}, {"task", taskName(task)}});
}

void logTargetTrust(IncarnationId incarnation, TargetTrust before, TargetTrust now)
{
    if (before == now)
        return;
    logEvent(LogLevel::Information, "target-trust",
             {{"life", std::to_string(idValue(incarnation))},
              {"before", std::string(enumName(targetTrustNames, before))},
              {"now", std::string(enumName(targetTrustNames, now))}});
}

void logSpeedGrades(const std::vector<TargetSpeeds::GradeChange> &changes)
{
    if (changes.empty())
        return;
    std::string lives;
    std::size_t listed = 0;
    for (const auto &change : changes) {
        if (listed++ == maxListedGrades)
            break;
        lives += (lives.empty() ? "" : ",") + std::to_string(idValue(change.incarnation)) + "="
            + std::string(enumName(speedGradeNames, change.now)) + "@"
            + std::to_string(std::lround(percent * change.slowness));
    }
    logEvent(LogLevel::Information, "target-speeds",
             {{"changed", std::to_string(changes.size())}, {"lives", lives}});
}

void logAdmissionAnswered(const StepAddress &step, std::size_t asked, std::size_t admitted)
{
    logEvent(LogLevel::Information, "admitted",
             {{"step", stepName(step)},
              {"asked", std::to_string(asked)},
              {"admitted", std::to_string(admitted)}});
}

void logAdmissionFailed(const StepAddress &step, const Error &error)
{
    logEvent(LogLevel::Warning, "admission-unanswered",
             {{"step", stepName(step)}, {"error", error.message}});
}

void logAgentUnresponsive(const std::string &agent, std::size_t targets, const Error &error)
{
    logEvent(LogLevel::Warning, "agent-doubted",
             {{"agent", agent}, {"targets", std::to_string(targets)}, {"error", error.message}});
}

void logTargetStarted(const TargetIdentity &target)
{
    logEvent(LogLevel::Information, "target-begun",
             {{"target", target.name},
              {"born", std::to_string(target.startedAtMs)},
              {"address", target.address},
              {"service", target.service}});
}

void logCrash(IncarnationId incarnation, const std::map<TaskAddress, LossCount> &lost,
              const std::vector<TaskAddress> &givenUp)
{
    std::string counts;
    for (const auto &[task, count] : lost) {
        counts += (counts.empty() ? "" : ",") + taskName(task) + "=" + std::to_string(count.crashes)
            + "/" + std::to_string(count.earlyCrashes);
    }
    std::string givenUpTasks;
    for (const TaskAddress &task : givenUp)
        givenUpTasks += (givenUpTasks.empty() ? "" : ",") + taskName(task);
    logEvent(LogLevel::Warning, "target-crashed",
             {{"life", std::to_string(idValue(incarnation))},
              {"crashes", counts},
              {"givenUp", givenUpTasks}});
}

void logTargetAlive(IncarnationId incarnation)
{
    logEvent(LogLevel::Information, "target-alive",
             {{"life", std::to_string(idValue(incarnation))}});
}

void logTargetResized(const TargetIdentity &target, const Resources &before)
{
    const auto change = [&](ResourceKind kind) {
        return std::to_string(before[kind]) + ">" + std::to_string(target.capacity[kind]);
    };
    logEvent(LogLevel::Information, "target-resized",
             {{"target", target.name},
              {"milliCores", change(ResourceKind::MilliCores)},
              {"memoryMb", change(ResourceKind::MemoryMb)},
              {"accelerators", change(ResourceKind::Accelerators)}});
}

void logTargetEnded(const TargetIdentity &target, IncarnationEnd how)
{
    logEvent(LogLevel::Warning, "target-over",
             {{"target", target.name},
              {"born", std::to_string(target.startedAtMs)},
              {"how", std::string(enumName(incarnationEndNames, how))}});
}

void logClaimRefused(const TargetIdentity &known, const TargetIdentity &claimed)
{
    static LogLimiter limiter(claimLogInterval);
    if (const auto reports = limiter.count(monotonicNow())) {
        logEvent(LogLevel::Warning, "target-claim-refused",
                 {{"target", known.name},
                  {"born", std::to_string(known.startedAtMs)},
                  {"address", known.address},
                  {"claimedBorn", std::to_string(claimed.startedAtMs)},
                  {"claimedAddress", claimed.address},
                  {"reports", std::to_string(*reports)}});
    }
}

void logAnnouncementIgnored(const std::string &target, std::int64_t startedAtMs)
{
    logEvent(LogLevel::Information, "target-end-ignored",
             {{"target", target}, {"born", std::to_string(startedAtMs)}});
}

void logRunsUnsettled(const TargetIdentity &target, std::size_t runs)
{
    logEvent(LogLevel::Information, "runs-unsettled",
             {{"target", target.name},
              {"born", std::to_string(target.startedAtMs)},
              {"runs", std::to_string(runs)}});
}

void logRunsInDoubt(const TargetIdentity &target, std::size_t runs, Milliseconds atMost)
{
    logEvent(LogLevel::Information, "runs-in-doubt",
             {{"target", target.name},
              {"born", std::to_string(target.startedAtMs)},
              {"runs", std::to_string(runs)},
              {"atMostMs", std::to_string(atMost.count())}});
}

void logTargetGone(const TargetIdentity &target, DepartureEnd how, Milliseconds took)
{
    logEvent(LogLevel::Information, "target-gone",
             {{"target", target.name},
              {"born", std::to_string(target.startedAtMs)},
              {"how", std::string(enumName(departureEndNames, how))},
              {"tookMs", std::to_string(took.count())}});
}

void logDomainEvacuation(const std::string &failureDomain, bool isEvacuated, std::size_t targets,
                         std::size_t runs)
{
    logEvent(LogLevel::Warning, isEvacuated ? "domain-evacuated" : "domain-open",
             {{"failureDomain", failureDomain},
              {"targets", std::to_string(targets)},
              {"runs", std::to_string(runs)}});
}

void logIntakeRefusal(const WorkflowSpec &spec, const IntakeDecision &decision)
{
    const bool isRefused = decision.verdict == IntakeVerdict::Refuse;
    logEvent(LogLevel::Information, isRefused ? "job-refused" : "call-not-taken",
             {{"job", workflowName(spec.id)},
              {"queue", spec.queue},
              {"account", spec.account},
              {"verdict", std::string(enumName(intakeVerdictNames, decision.verdict))},
              {"cause", std::string(enumName(intakeCauseNames, decision.cause))},
              {"waitMs", std::to_string(decision.expectedWait.count())},
              {"retryAfterMs", std::to_string(decision.retryAfter.count())}});
}

void logIntakeReport(const IntakeReport &report)
{
    if (report.isEmpty())
        return;
    std::size_t total = 0;
    std::string counts;
    for (const auto &[key, count] : report.refused) {
        const auto &[queue, account, cause] = key;
        counts.append(counts.empty() ? "" : ",").append(queue).append("/").append(account);
        counts.append("/").append(enumName(intakeCauseNames, cause));
        counts.append(":").append(std::to_string(count));
        total += count;
    }
    logEvent(LogLevel::Information, "jobs-refused",
             {{"count", std::to_string(total)}, {"by", counts}});
}

std::string documentDigest(const std::string &document)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(checksumOf(document)));
    return text.data();
}

void logConfigurationInForce(std::int64_t version, const std::string &document,
                             const Policy &policy)
{
    logEvent(LogLevel::Information, "configuration-in-force",
             {{"version", std::to_string(version)},
              {"digest", documentDigest(document)},
              {"queues", std::to_string(policy.queues.size())},
              {"accounts", std::to_string(policy.accounts.size())}});
}

void logConfigurationUnreadable(std::int64_t version, const Error &error)
{
    logEvent(LogLevel::Error, "configuration-unreadable",
             {{"version", std::to_string(version)}, {"error", error.message}});
}

} // namespace guavavalve::workflows
