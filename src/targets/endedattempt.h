#pragma once

#include "controller/attemptend.h"
#include "core/clock.h"

#include <string>

namespace guavavalve {

/// An attempt that a Dispatcher followed to its end.
struct EndedAttempt
{
    AttemptEnd end;
    /// False: the end was superseded, and the controller knows what holds instead.
    bool committed = false;
    Instant followedFrom; ///< when its start was sent here, or its first question
    std::string answer; ///< whole, of an attempt that succeeded
};

} // namespace guavavalve
