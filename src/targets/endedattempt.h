#pragma once

#include "controller/attemptend.h"
#include "core/clock.h"

#include <string>

namespace guavavalve {

/// The end of an attempt that a Dispatcher followed.
struct EndedAttempt
{
    AttemptEnd end;
    /// False if the end was superseded or the attempt given up; the controller then decides its
    /// outcome.
    bool committed = false;
    Instant followedFrom; ///< when this dispatcher sent its start or first query
    std::string answer; ///< complete, if the attempt succeeded
};

} // namespace guavavalve
