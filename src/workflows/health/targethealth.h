#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "workflows/model/ids.h"
#include "workflows/model/runend.h"

#include <cstdint>
#include <map>

namespace guavavalve::workflows {

/// Whether a target may be given new work, judged by the outcomes of its runs.
enum class TargetTrust : std::uint8_t {
    Trusted,
    Probation, ///< one task at a time, until one succeeds
    Suspended, ///< no new work for a while
};

inline constexpr EnumNames<TargetTrust, 3> targetTrustNames{{
    {TargetTrust::Trusted, "trusted"},
    {TargetTrust::Probation, "probation"},
    {TargetTrust::Suspended, "suspended"},
}};

/// Distinguishes targets that fail their runs from workflows that fail on any target. Pure; not
/// thread-safe.
///
/// A target is suspended after so many consecutive failures, of different workflows, as chance
/// would cause on one target in thirty, given the fraction of targets whose latest run failed. The
/// rate is taken over targets rather than runs: a target that fails immediately is given more runs
/// than others and would make failures look normal.
class TargetHealth
{
public:
    /// A run of \a workflow has ended on \a incarnation. Outcomes other than success, failure and
    /// refusal are ignored.
    void ended(IncarnationId incarnation, WorkflowId workflow, RunOutcome outcome, Instant now);
    /// The runs on \a incarnation are stuck or slow.
    void stalled(IncarnationId incarnation, Instant now);
    void forget(IncarnationId incarnation);
    void clear();

    TargetTrust trust(IncarnationId incarnation, Instant now) const;

    /// True if \a incarnation has been on probation for so long that it may be given any work while
    /// idle.
    ///
    /// Guards against a gang that waits forever: in an otherwise idle cell nobody submits the
    /// single task with which a target that the gang needs could regain trust.
    bool hasProbationExpired(IncarnationId incarnation, Instant now) const;

private:
    struct Record
    {
        unsigned consecutiveFailures = 0; ///< of different workflows
        WorkflowId lastFailed{}; ///< workflow of the latest failure
        Instant suspendedUntil{};
        unsigned suspensions = 0; ///< since the last success
    };

    unsigned suspensionThreshold() const;
    static void suspend(Record &record, Instant now);

    std::map<IncarnationId, Record> records;
};

} // namespace guavavalve::workflows
