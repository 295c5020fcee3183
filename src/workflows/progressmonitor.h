#pragma once

#include "core/clock.h"
#include "workflows/ids.h"
#include "workflows/targetport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// What is expected of a run that a target lists.
struct ExpectedRun
{
    TaskAddress task;
    RunNumber run = 0;
    std::uint32_t estimatedMs = 0; ///< of the whole task; 0: not said
    /// It works by itself: no member of a gang, which waits for the others, and none that lasts.
    bool isAlone = false;
};

/// Sees from the progress that one target lists whether its runs go on, crawl or stand still. Pure.
///
/// A run works evenly on a sound target, so its progress is compared with its own earlier progress.
/// Estimates are no measure: by the users' figures they are wrong by a factor of two and more.
class ProgressMonitor
{
public:
    /// A list that has come at \a now. \a expected: what is known of the runs in \a listed.
    void listed(const std::vector<RunningTask> &listed, const std::vector<ExpectedRun> &expected,
                Instant now);

    /// True if all that was seen for long enough stands still, or crawls.
    bool isStalled() const;

    /// Runs that would be over sooner elsewhere, though stopped here and begun again from their
    /// last checkpoint. Empty unless the target is stalled.
    /// \a stopLimit: what a stop may take.
    std::vector<TaskAddress> runsWorthMoving(Milliseconds stopLimit) const;

private:
    /// A stretch of a run's progress that is still being measured.
    struct Span
    {
        Instant since{};
        int percent = 0;
    };
    struct Seen
    {
        RunNumber run = 0;
        int percent = 0; ///< newest
        int savedPercent = 0; ///< when its newest checkpoint was first listed
        std::string checkpoint;
        std::uint32_t estimatedMs = 0;
        Span shortSpan;
        Span longSpan;
        double bestRate = 0.0; ///< percent in a millisecond, over the best short span
        std::optional<double> rate; ///< over the last long span

        bool standsStill() const { return this->rate && *this->rate == 0.0; }
        bool crawls() const;
        /// How long the whole task takes at its best.
        double wholeMs() const;
    };

    void measure(Seen &seen, const RunningTask &row, Instant now) const;
    bool isBetterElsewhere(const Seen &seen, Milliseconds stopLimit) const;

    std::map<TaskAddress, Seen> runs;
};

} // namespace guavavalve::workflows
