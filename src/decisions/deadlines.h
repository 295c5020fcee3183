#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <functional>
#include <queue>
#include <vector>

namespace guavavalve::internal {

/// Waiting tasks by the time they must start. An entry whose task is gone is only passed over
/// when its time comes, so that cancelling stays constant work.
class Deadlines
{
public:
    struct Entry
    {
        Instant at{};
        TaskId task = TaskId::None;

        friend bool operator>(const Entry &a, const Entry &b)
        {
            return a.at > b.at || (a.at == b.at && a.task > b.task);
        }
    };

    void add(Instant at, TaskId task)
    {
        if (at != Instant::max())
            this->entries.push(Entry{at, task});
    }

    bool isDue(Instant now) const { return this->next() <= now; }

    Instant next() const { return this->entries.empty() ? Instant::max() : this->entries.top().at; }

    TaskId takeNext()
    {
        const TaskId task = this->entries.top().task;
        this->entries.pop();
        return task;
    }

private:
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries;
};

} // namespace guavavalve::internal
