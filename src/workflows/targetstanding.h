#pragma once

#include "core/clock.h"

namespace guavavalve::workflows {

/// What decides whether new work may go to a target.
struct TargetStanding
{
    bool reportsReady = false; ///< its newest heartbeat; false: it drains
    bool hasRunList = false; ///< it has been asked what runs there, in this term and since a lapse
    bool isFenced = false; ///< a later controller has given it orders
    unsigned failures = 0; ///< questions in a row without an answer
    std::size_t foreignRuns = 0; ///< it runs, and that are being stopped
    Milliseconds answerAge{}; ///< since it last answered
};

} // namespace guavavalve::workflows
