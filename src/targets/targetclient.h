#pragma once

#include "controller/announcement.h"
#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/done.h"
#include "targets/attemptreport.h"

#include <string>

namespace guavavalve {

/// Asks targets about attempts.
///
/// Every reply is matched by attempt, and an answer's length and digest are checked.
/// \errors NotFound if the target does not know the attempt; Unavailable or DeadlineExceeded with
/// Ran::Unknown if the connection could not be made, failed or went silent; IncompleteAnswer if
/// the answer is not whole or of another attempt.
class TargetClient
{
public:
    virtual ~TargetClient() = default;

    /// Sends the start of \a order. The reply comes when it has ended, or after \a wait.
    virtual void start(const DispatchOrder &order, Milliseconds wait, Done<AttemptReport> done) = 0;

    /// Asks about an attempt under \a incarnation (0: whichever is current). The reply comes when
    /// it has ended, or after \a wait.
    virtual void ask(const std::string &address, AttemptId attempt, Incarnation incarnation,
                     Milliseconds wait, Done<AttemptReport> done) = 0;

    /// Ends an attempt, or has it refused for ever if it has not started under \a incarnation.
    virtual void stop(const std::string &address, AttemptId attempt, Incarnation incarnation,
                      Done<AttemptReport> done) = 0;

    /// Has an attempt slowed down.
    virtual void throttle(const std::string &address, AttemptId attempt,
                          Done<AttemptReport> done) = 0;

    /// Has an attempt save its progress and end.
    virtual void checkpoint(const std::string &address, AttemptId attempt,
                            Done<AttemptReport> done) = 0;
};

} // namespace guavavalve
