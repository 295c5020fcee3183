#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/workclass.h"
#include "decisions/indexes.h"
#include "decisions/reason.h"
#include "decisions/workprofile.h"

#include <cstdint>

namespace guavavalve::internal {

/// What tells one queue from another: its tasks are alike to the scheduler, so that a blocked
/// queue is looked at once and not once a task.
struct QueueKey
{
    Index team = noIndex;
    WorkClass workClass = WorkClass::Batch;
    std::uint32_t gangSize = 1; ///< tasks that start together
    Resources need; ///< as declared

    friend bool operator==(const QueueKey &a, const QueueKey &b)
    {
        return a.team == b.team && a.workClass == b.workClass && a.gangSize == b.gangSize
            && a.need == b.need;
    }
};

/// Whether a queue can be decided about.
enum class QueueState : std::uint8_t {
    Idle, ///< empty
    Ready, ///< to be looked at
    NoRoom, ///< its head fits on no target; a target that frees room makes it ready
    AtLimit, ///< its head would pass the team's limit; an end in the team makes it ready
};

/// The waiting tasks of one team, class and shape, first come first served. Of a gang only one
/// task stands here, for all.
struct WorkQueue
{
    QueueKey key;
    Resources charge; ///< the need as corrected from usage
    WorkProfile profile;
    Index head = noIndex;
    Index tail = noIndex;
    std::uint32_t count = 0;
    std::uint32_t references = 0; ///< tasks, waiting or placed
    Index statePosition = 0; ///< in the list of its state
    QueueState state = QueueState::Idle;
    bool hintsOnly = false; ///< ready only because of targets that freed room
    Reason reason = Reason::None; ///< why its head waits
    std::uint32_t considered = 0; ///< targets weighed when it was last looked at
    Instant decidedAt{};
    Instant blockedSince{};
    Instant roomAskedAt{};
    Instant reservationTriedAt{};
    Index reservation = noIndex;
};

} // namespace guavavalve::internal
