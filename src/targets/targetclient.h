#pragma once

#include "controller/announcement.h"
#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/done.h"
#include "targets/attemptreport.h"

#include <string>

namespace guavavalve {

/// Starts, queries and ends attempts on targets.
///
/// Checks that each reply is about the requested attempt, and the length and digest of answers.
/// \errors NotFound if the target does not know the attempt; Unavailable or DeadlineExceeded with
/// Ran::Unknown if the connection could not be made, failed or timed out; IncompleteAnswer if the
/// answer is incomplete, too long or about another attempt.
class TargetClient
{
public:
    virtual ~TargetClient() = default;

    /// Sends the start request of \a order. The target replies when the attempt has ended, or after
    /// \a wait.
    virtual void start(const DispatchOrder &order, Milliseconds wait, Done<AttemptReport> done) = 0;

    /// Queries an attempt under \a incarnation (0: the current one). The target replies when the
    /// attempt has ended, or after \a wait.
    virtual void query(const std::string &address, AttemptId attempt, Incarnation incarnation,
                       Milliseconds wait, Done<AttemptReport> done) = 0;

    /// Ends an attempt, or has the target refuse it permanently if it has not started under
    /// \a incarnation.
    virtual void stop(const std::string &address, AttemptId attempt, Incarnation incarnation,
                      Done<AttemptReport> done) = 0;

    /// Has the target slow an attempt down.
    virtual void throttle(const std::string &address, AttemptId attempt,
                          Done<AttemptReport> done) = 0;

    /// Has an attempt save a checkpoint and end.
    virtual void checkpoint(const std::string &address, AttemptId attempt,
                            Done<AttemptReport> done) = 0;
};

} // namespace guavavalve
