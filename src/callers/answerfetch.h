#pragma once

#include "controller/jobstatus.h"
#include "core/clock.h"
#include "core/done.h"

#include <string>

namespace guavavalve {

class TargetClient;
class TimerQueue;

/// Fetches the whole answer of \a task, which has succeeded, from its target, which keeps it.
/// Tries again until \a deadline; \a timers and \a targets outlive that.
/// \errors IncompleteAnswer with Ran::Yes if the target does not give the answer that was
/// committed.
void fetchAnswer(TargetClient &targets, TimerQueue &timers, const TaskStatus &task,
                 Instant deadline, Done<std::string> done);

} // namespace guavavalve
