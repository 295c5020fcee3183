#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"
#include "workflows/sessions/targetport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// What is known in advance about a run that a target lists.
struct ExpectedRun
{
    TaskAddress task;
    RunNumber run = 0;
    std::uint32_t estimatedMs = 0; ///< of the whole task; 0: unknown
    /// Its progress depends on its target alone: it is no member of a gang, which waits for the
    /// others, and does not run until it is cancelled.
    bool isIndependent = false;
};

/// Detects from the progress that one target lists whether its runs advance, have slowed down or
/// are stuck. Pure.
///
/// A run advances evenly on a healthy target, so its progress is compared with its own earlier
/// progress. Callers' estimates are not used: by the users' workload figures they are off by a
/// factor of two and more.
class ProgressMonitor
{
public:
    /// Takes in the runs that the target listed at \a now. \a expected: what is known about them.
    void listed(const std::vector<RunningTask> &listed, const std::vector<ExpectedRun> &expected,
                Instant now);

    /// True if all runs that were observed for long enough are stuck or slow.
    bool isStalled() const;

    /// Runs that would finish sooner elsewhere, including the time to stop them here and to restart
    /// them from their last checkpoint. Empty unless the target is stalled.
    /// \a stopLimit: how long a stop may take.
    std::vector<TaskAddress> runsWorthMoving(Milliseconds stopLimit) const;

private:
    /// The start of an interval over which a run's progress is being measured.
    struct Span
    {
        Instant since{};
        int percent = 0;
    };
    struct ObservedRun
    {
        RunNumber run = 0;
        int percent = 0; ///< as last listed
        int checkpointPercent = 0; ///< progress when its newest checkpoint was first listed
        std::string checkpoint;
        std::uint32_t estimatedMs = 0;
        Span shortSpan;
        Span longSpan;
        double bestRate = 0.0; ///< percent per millisecond, over the best short span
        std::optional<double> rate; ///< over the last long span

        bool isStuck() const { return this->rate && *this->rate == 0.0; }
        bool isSlow() const;
        /// Duration of the whole task at the best rate.
        double fullDurationMs() const;
    };

    void measure(ObservedRun &observed, const RunningTask &row, Instant now) const;
    bool isWorthMoving(const ObservedRun &observed, Milliseconds stopLimit) const;

    std::map<TaskAddress, ObservedRun> runs;
};

} // namespace guavavalve::workflows
