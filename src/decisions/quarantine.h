#pragma once

#include "core/attemptoutcome.h"
#include "core/clock.h"
#include "decisions/jobfailures.h"
#include "decisions/ledger.h"

#include <vector>

namespace guavavalve::internal {

/// Tells targets that fail everything from work that fails everywhere, and keeps the former from
/// getting more than probes. Evidence against a target is summed up as in a CUSUM test (Page,
/// 1954): the log likelihood of each outcome if the target fails everything, against that of the
/// same work elsewhere.
class Quarantine
{
public:
    explicit Quarantine(Ledger &ledger);

    /// A task that is still in the books as placed ended like this.
    void recordOutcome(const TaskRecord &task, AttemptOutcome end, Instant now);

    /// The target's process is a new one, or the target is gone: its record is clean.
    void clearRecord(Index target);

    /// Targets whose next probe is due.
    std::vector<Index> dueForProbe(Instant now) const;

    /// A probe has been placed on \a target.
    void probeStarted(Index target);

    /// The probe's placement was undone, or it ended without telling anything.
    void probeInconclusive(Index target, Instant now);

    /// When the next probe is due, or Instant::max().
    Instant nextProbe() const;

    std::uint32_t count() const { return static_cast<std::uint32_t>(this->members.size()); }

private:
    double evidence(const TaskRecord &task, AttemptOutcome end) const;
    void probeEnded(Index target, bool failed, Instant now);
    void hold(Index target, Instant now);
    void release(Index target);

    Ledger &ledger;
    JobFailures jobs;
    std::vector<Index> members;
};

} // namespace guavavalve::internal
