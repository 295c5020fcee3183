#pragma once

#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace guavavalve {

/// Orders that their entry has not acknowledged yet, each with the time of its next sending.
///
/// Guards against an order lost between controller and entry, which would show as a task that
/// stays placed for ever though nobody follows it. An order is sent again until the entry has it,
/// or the attempt is over or is given to another entry. Not thread safe.
class OrderOutbox
{
public:
    /// Puts in \a order for \a entry, in place of an older one for the same attempt.
    void put(const InstanceId &entry, DispatchOrder order, Instant sendAt);

    /// The entry has the order: \a action tells which, as a newer one may have replaced it.
    void acknowledged(TaskId task, AttemptNumber attempt, DispatchAction action);

    /// The attempt is over.
    void drop(TaskId task);

    void clear();

    /// The orders to be sent at \a now, by entry; each comes again at \a again unless it is
    /// acknowledged.
    std::map<InstanceId, std::vector<DispatchOrder>> due(Instant now, Instant again);

    Instant nextSend() const;

private:
    struct Pending
    {
        InstanceId entry;
        DispatchOrder order;
        Instant sendAt;
    };

    std::map<TaskId, Pending> pending;
    std::set<std::pair<Instant, TaskId>> schedule;
};

} // namespace guavavalve
