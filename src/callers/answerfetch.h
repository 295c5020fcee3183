#pragma once

#include "controller/jobstatus.h"
#include "core/clock.h"
#include "core/done.h"

#include <string>

namespace guavavalve {

class TargetClient;
class TimerQueue;

/// Fetches the complete answer of \a task, which has succeeded, from the target that stores it.
/// Retries until \a deadline; \a timers and \a targets must outlive that.
/// \errors IncompleteAnswer with Ran::Yes if the target does not return the answer that was
/// committed.
void fetchAnswer(TargetClient &targets, TimerQueue &timers, const TaskStatus &task,
                 Instant deadline, Done<std::string> done);

} // namespace guavavalve
