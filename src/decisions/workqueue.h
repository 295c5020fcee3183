#pragma once

#include "core/clock.h"
#include "core/resources.h"
#include "core/workclass.h"
#include "decisions/indexes.h"
#include "decisions/reason.h"
#include "decisions/workprofile.h"

#include <cstdint>

namespace guavavalve::internal {

/// Identifies a queue. All tasks of a queue are equivalent to the scheduler, so that a blocked
/// queue is examined once instead of once per task.
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

/// Whether a queue is eligible for placement.
enum class QueueState : std::uint8_t {
    Idle, ///< empty
    Ready, ///< eligible for placement
    NoRoom, ///< its head fits on no target; a target that frees room makes it ready
    AtLimit, ///< its head would exceed the team's limit; made ready when a task of the team ends
};

/// The waiting tasks of one team, class and shape, in FIFO order. A gang is represented by one of
/// its tasks.
struct WorkQueue
{
    QueueKey key;
    Resources charge; ///< the need, corrected by measured usage
    WorkProfile profile;
    Index head = noIndex;
    Index tail = noIndex;
    std::uint32_t count = 0;
    std::uint32_t references = 0; ///< tasks, waiting or placed
    Index statePosition = 0; ///< in the list of its state
    QueueState state = QueueState::Idle;
    bool hintsOnly = false; ///< consider only targets that recently freed room (hints)
    Reason reason = Reason::None; ///< why its head waits
    std::uint32_t considered = 0; ///< targets scored when it was last examined
    Instant decidedAt{};
    Instant blockedSince{};
    Instant preemptionRequestedAt{};
    Instant reservationTriedAt{};
    Index reservation = noIndex;
};

} // namespace guavavalve::internal
