#include "decisions/admission.h"

#include <algorithm>

namespace guavavalve::internal {

namespace {

constexpr Milliseconds minRetryAfter{100};
constexpr Milliseconds maxRetryAfter{60000};
constexpr Milliseconds defaultRetryAfter{1000};
/// Below this rate of starts the wait cannot be estimated.
constexpr double minStartsPerSecond = 0.5;
/// Fewer waiting tasks than this are never treated as an overload.
constexpr std::uint32_t minOverloadWaiting = 8;
/// A task is refused only if the expected wait exceeds the time left by this factor: the estimate
/// is no more accurate than that, and an unnecessary refusal loses work that could have run.
constexpr double refusalFactor = 1.5;

Result<void> admitSize(const Ledger &ledger, const TaskRequest &request, const TeamRecord &team)
{
    const bool gang = request.workClass == WorkClass::Gang;
    const std::uint32_t gangSize = gang ? std::max(request.jobTasks, 1U) : 1;
    Resources totalNeed;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        totalNeed.amounts[kind] = request.need.amounts[kind] * gangSize;
    if (!totalNeed.fitsInto(team.policy.limit) && !totalNeed.fitsInto(team.policy.totalLimit)) {
        return failure(ErrorCode::LimitExceeded,
                       "the task or gang alone exceeds its team's upper limit; submit less at a "
                       "time or have the limit raised");
    }
    if (ledger.fleet.empty())
        return boost::outcome_v2::success(); // no target has announced itself yet
    if (ledger.fleet.capacityFor(request.need, gangSize) < gangSize) {
        return failure(ErrorCode::NeverFits,
                       gangSize > 1 ? "the announced targets cannot hold all tasks of the job "
                                      "at once, even when they are empty"
                                    : "no announced target is large enough for the task, even "
                                      "when it is empty");
    }
    return boost::outcome_v2::success();
}

Result<void> admitDeadline(const Ledger &ledger, const TaskRequest &request, Index team,
                           Instant now)
{
    if (request.startBy == Instant::max())
        return boost::outcome_v2::success();
    if (request.startBy <= now)
        return failure(ErrorCode::DeadlineExceeded, "the deadline to start has passed");
    const Microseconds wait = expectedWait(ledger, team, request.workClass, now);
    const Microseconds left = request.startBy - now;
    if (static_cast<double>(wait.count()) <= refusalFactor * static_cast<double>(left.count()))
        return boost::outcome_v2::success();
    Error error = failure(ErrorCode::DeadlineExceeded,
                          "the estimated wait exceeds the time left until the deadline to start");
    error.retryAfter = std::clamp(std::chrono::duration_cast<Milliseconds>(wait - left),
                                  minRetryAfter, maxRetryAfter);
    return error;
}

} // namespace

Microseconds expectedWait(const Ledger &ledger, Index teamIndex, WorkClass workClass, Instant now)
{
    const TeamRecord &team = ledger.teams[teamIndex];
    const std::uint32_t waiting = team.waiting[static_cast<std::size_t>(workClass)];
    const double rate = team.starts[static_cast<std::size_t>(workClass)].at(now);
    if (waiting < minOverloadWaiting || rate < minStartsPerSecond)
        return Microseconds(0);
    return std::chrono::duration_cast<Microseconds>(
        std::chrono::duration<double>(static_cast<double>(waiting) / rate));
}

Milliseconds retryAfter(const Ledger &ledger, Index team, WorkClass workClass, Instant now)
{
    const Microseconds wait = expectedWait(ledger, team, workClass, now);
    if (wait.count() == 0)
        return defaultRetryAfter;
    return std::clamp(std::chrono::duration_cast<Milliseconds>(wait), minRetryAfter, maxRetryAfter);
}

Result<void> admit(Ledger &ledger, const TaskRequest &request, Instant now)
{
    const Index teamIndex = ledger.findTeam(request.team);
    if (teamIndex == noIndex || !ledger.teams[teamIndex].configured)
        return failure(ErrorCode::NotFound, "the team is not configured; ask an operator");
    if (!request.need.isNonNegative())
        return failure(ErrorCode::InvalidArgument,
                       "a task cannot need a negative amount of a resource");
    if (request.jobTasks == 0 || ledger.mismatchesGang(request))
        return failure(ErrorCode::InvalidArgument,
                       "a job has at least one task, and all tasks of a gang must have the "
                       "same team, need and job size");
    if (ledger.findTask(request.id) != noIndex)
        return failure(ErrorCode::Conflict, "a task with this ID already exists");
    const TeamRecord &team = ledger.teams[teamIndex];
    if (team.waiting[static_cast<std::size_t>(request.workClass)]
        >= ledger.policy.of(request.workClass).maxWaiting) {
        Error error = failure(ErrorCode::LimitExceeded, "too many tasks of the team are waiting");
        error.retryAfter = retryAfter(ledger, teamIndex, request.workClass, now);
        return error;
    }
    Result<void> size = admitSize(ledger, request, team);
    if (size.has_error())
        return size;
    return admitDeadline(ledger, request, teamIndex, now);
}

} // namespace guavavalve::internal
