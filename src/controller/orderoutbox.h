#pragma once

#include "controller/dispatchorder.h"
#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace guavavalve {

/// Orders that their entry has not acknowledged yet, each with the time at which it is sent next.
///
/// If an order between controller and entry were lost, its task would stay placed forever with no
/// entry following it. An order is therefore resent until the entry acknowledges it, the attempt
/// ends, or the attempt is assigned to another entry. Not thread safe.
class OrderOutbox
{
public:
    /// Adds \a order for \a entry and replaces an older order for the same task.
    void put(const InstanceId &entry, DispatchOrder order, Instant sendAt);

    /// Removes the order that the entry has received. \a attempt and \a action identify it,
    /// because a newer order may have replaced it.
    void acknowledged(TaskId task, AttemptNumber attempt, DispatchAction action);

    /// Removes the order for \a task, if there is one.
    void drop(TaskId task);

    void clear();

    /// The orders due at \a now, by entry. Each is due again at \a retryAt until acknowledged.
    std::map<InstanceId, std::vector<DispatchOrder>> due(Instant now, Instant retryAt);

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
