#pragma once

#include "core/clock.h"
#include "workflows/ids.h"
#include "workflows/targetport.h"

#include <cstdint>
#include <map>
#include <optional>
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
/// The speed of a run is the work that it does in a second by its caller's estimate, in seconds; a
/// sound target comes to about one. Estimates are rough, so one crawling run says nothing, and a
/// target is judged by the middle of all its runs.
class ProgressWatch
{
public:
    /// A list that has come at \a now. \a expected: what is known of the runs in \a listed.
    void listed(const std::vector<RunningTask> &listed, const std::vector<ExpectedRun> &expected,
                Instant now);

    /// The middle of the speeds of the runs that were seen for long enough; nothing: none was.
    std::optional<double> speed() const;
    /// True if all that was seen for long enough stands still, or crawls.
    bool isStalled() const;

    /// Runs that would be over sooner elsewhere, though stopped here and begun again from their
    /// last checkpoint. Empty unless the target is stalled.
    /// \a stopLimit: what a stop may take.
    std::vector<TaskAddress> betterElsewhere(Milliseconds stopLimit) const;

private:
    struct Seen
    {
        RunNumber run = 0;
        int percent = 0; ///< newest
        int savedPercent = 0; ///< when its newest checkpoint was first listed
        std::string checkpoint;
        std::uint32_t estimatedMs = 0;
        std::optional<double> speed; ///< over the last span that was long enough
        int spanPercent = 0; ///< where that span began
        Instant spanSince{};
    };

    std::map<TaskAddress, Seen> runs;
};

} // namespace guavavalve::workflows
