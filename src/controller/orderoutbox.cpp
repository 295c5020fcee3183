#include "controller/orderoutbox.h"

namespace guavavalve {

void OrderOutbox::put(const InstanceId &entry, DispatchOrder order, Instant sendAt)
{
    const TaskId task = order.task;
    this->drop(task);
    this->schedule.emplace(sendAt, task);
    this->pending.emplace(task, Pending{entry, std::move(order), sendAt});
}

void OrderOutbox::acknowledged(TaskId task, AttemptNumber attempt, DispatchAction action)
{
    const auto found = this->pending.find(task);
    if (found == this->pending.end())
        return;
    const DispatchOrder &order = found->second.order;
    if (order.attempt == attempt && order.action == action)
        this->drop(task);
}

void OrderOutbox::drop(TaskId task)
{
    const auto found = this->pending.find(task);
    if (found == this->pending.end())
        return;
    this->schedule.erase({found->second.sendAt, task});
    this->pending.erase(found);
}

void OrderOutbox::clear()
{
    this->pending.clear();
    this->schedule.clear();
}

std::map<InstanceId, std::vector<DispatchOrder>> OrderOutbox::due(Instant now, Instant retryAt)
{
    std::map<InstanceId, std::vector<DispatchOrder>> orders;
    while (!this->schedule.empty() && this->schedule.begin()->first <= now) {
        const TaskId task = this->schedule.begin()->second;
        this->schedule.erase(this->schedule.begin());
        Pending &waiting = this->pending.at(task);
        waiting.sendAt = retryAt;
        this->schedule.emplace(retryAt, task);
        orders[waiting.entry].push_back(waiting.order);
    }
    return orders;
}

Instant OrderOutbox::nextSend() const
{
    return this->schedule.empty() ? Instant::max() : this->schedule.begin()->first;
}

} // namespace guavavalve
