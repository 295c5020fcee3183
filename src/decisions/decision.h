#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "decisions/reason.h"

#include <cstdint>

namespace guavavalve {

/// The action to take on a task.
enum class DecisionKind : std::uint8_t {
    Place, ///< start it on `target`
    Refuse, ///< report `error` to its caller; the task has not run and is removed
    Throttle, ///< have its target slow it down; it keeps running
    Checkpoint, ///< have its target checkpoint and end it, then call requeue()
    Stop, ///< have its target end it, then call requeue() or taskEnded()
};

inline constexpr EnumNames<DecisionKind, 5> decisionKindNames{{
    {DecisionKind::Place, "place"},
    {DecisionKind::Refuse, "refuse"},
    {DecisionKind::Throttle, "throttle"},
    {DecisionKind::Checkpoint, "checkpoint"},
    {DecisionKind::Stop, "stop"},
}};

/// One decision about one task. All placements of a gang are adjacent in the output of one
/// Scheduler::decide() and must be committed together.
struct Decision
{
    DecisionKind kind = DecisionKind::Place;
    TaskId task = TaskId::None;
    TargetId target = TargetId::None;
    /// Of a placement: the resources reserved on the target and counted against the team's limit.
    /// They differ from the declared need where measured usage has shown it to be inaccurate.
    Resources charge;
    Reason reason = Reason::None;
    ErrorCode error = ErrorCode::Internal; ///< of a refusal
    Milliseconds retryAfter{0}; ///< of a refusal; zero: retrying does not help
};

} // namespace guavavalve
