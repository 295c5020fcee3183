#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"
#include "decisions/reason.h"

#include <cstdint>

namespace guavavalve {

/// What is to happen to a task.
enum class DecisionKind : std::uint8_t {
    Place, ///< start it on `target`
    Refuse, ///< answer its caller with `error`; the task is forgotten and has not run
    Throttle, ///< have its target slow it down; it stays
    Checkpoint, ///< have its target save and end it, then requeue() it
    Stop, ///< have its target end it, then requeue() or taskEnded() it
};

inline constexpr EnumNames<DecisionKind, 5> decisionKindNames{{
    {DecisionKind::Place, "place"},
    {DecisionKind::Refuse, "refuse"},
    {DecisionKind::Throttle, "throttle"},
    {DecisionKind::Checkpoint, "checkpoint"},
    {DecisionKind::Stop, "stop"},
}};

/// One decision about one task. All placements of a gang stand next to each other in the output
/// of one Scheduler::decide and are to be committed together.
struct Decision
{
    DecisionKind kind = DecisionKind::Place;
    TaskId task = TaskId::None;
    TargetId target = TargetId::None;
    /// Of a placement: what is set aside on the target and counted against the team's limit. It
    /// differs from the declared need where usage has shown the declaration to be off.
    Resources charge;
    Reason reason = Reason::None;
    ErrorCode error = ErrorCode::Internal; ///< of a refusal
    Milliseconds retryAfter{0}; ///< of a refusal; zero: no use in coming back
};

} // namespace guavavalve
