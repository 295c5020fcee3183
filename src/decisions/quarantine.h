#pragma once

#include "core/attemptoutcome.h"
#include "core/clock.h"
#include "decisions/jobfailures.h"
#include "decisions/ledger.h"

#include <vector>

namespace guavavalve::internal {

/// Distinguishes targets that fail everything from work that fails everywhere, and restricts the
/// former to probes. Evidence against a target accumulates as in a CUSUM test (Page, 1954): for
/// each outcome, the log-likelihood ratio between a target that fails everything and the same work
/// running elsewhere.
class Quarantine
{
public:
    explicit Quarantine(Ledger &ledger);

    /// Records how a task ended. The task must still be placed in the ledger.
    void recordOutcome(const TaskRecord &task, AttemptOutcome end, Instant now);

    /// Clears the evidence against the target and releases it, because its process was restarted or
    /// the target is gone.
    void clearRecord(Index target);

    /// Targets whose next probe is due.
    std::vector<Index> dueForProbe(Instant now) const;

    /// Records that a probe has been placed on \a target.
    void probeStarted(Index target);

    /// Records that the probe's placement was undone, or that it ended without evidence for or
    /// against the target.
    void probeInconclusive(Index target, Instant now);

    /// The time when the next probe is due, or Instant::max().
    Instant nextProbe() const;

    std::uint32_t count() const { return static_cast<std::uint32_t>(this->members.size()); }

private:
    double evidence(const TaskRecord &task, AttemptOutcome end) const;
    void probeEnded(Index target, bool failed, Instant now);
    void isolate(Index target, Instant now);
    void release(Index target);

    Ledger &ledger;
    JobFailures jobs;
    std::vector<Index> members;
};

} // namespace guavavalve::internal
