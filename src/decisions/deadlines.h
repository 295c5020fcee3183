#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <functional>
#include <queue>
#include <vector>

namespace guavavalve::internal {

/// Waiting tasks ordered by the time by which they must start. Cancelling a task leaves its entry
/// in place, so that it takes constant time; the caller ignores the entry when it comes due.
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
