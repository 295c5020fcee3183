#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "workflows/ids.h"
#include "workflows/runend.h"

#include <cstdint>
#include <map>

namespace guavavalve::workflows {

/// Whether a target may be given new work, by how the runs on it have ended.
enum class TargetTrust : std::uint8_t {
    Trusted,
    Probation, ///< one task at a time, until one succeeds
    Suspended, ///< nothing new for a while
};

inline constexpr EnumNames<TargetTrust, 3> targetTrustNames{{
    {TargetTrust::Trusted, "trusted"},
    {TargetTrust::Probation, "probation"},
    {TargetTrust::Suspended, "suspended"},
}};

/// Tells targets that fail what they are given from workflows that fail wherever they run. Pure;
/// not thread-safe.
///
/// A target is suspended when so many runs in a row, of different workflows, have failed there as
/// would by chance on one target in thirty, at the rate at which targets fail their newest run.
/// The rate is taken over targets and not over runs: one that fails at once is given the more, and
/// would look usual.
class TargetHealth
{
public:
    /// A run of \a workflow has ended on \a life. Only success, failure and refusal count.
    void ended(IncarnationId incarnation, WorkflowId workflow, RunOutcome outcome, Instant now);
    /// What runs on \a life stands still or crawls.
    void stalled(IncarnationId incarnation, Instant now);
    void forget(IncarnationId incarnation);
    void clear();

    TargetTrust trust(IncarnationId incarnation, Instant now) const;

    /// True if \a life has been on probation for so long that, idle, it may be given anything.
    ///
    /// Guards against a gang that waits for ever: when a cell runs empty, nobody hands in the
    /// single task by which a target that the gang needs could prove itself.
    bool hasProbationExpired(IncarnationId incarnation, Instant now) const;

private:
    struct Record
    {
        unsigned failuresInARow = 0; ///< of different workflows
        WorkflowId lastFailed{}; ///< the workflow that failed last
        Instant suspendedUntil{};
        unsigned suspensions = 0; ///< since the last success
    };

    unsigned tolerated() const;
    static void suspend(Record &record, Instant now);

    std::map<IncarnationId, Record> records;
};

} // namespace guavavalve::workflows
