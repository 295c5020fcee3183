#pragma once

#include "decisions/indexes.h"
#include "decisions/slab.h"
#include "decisions/taskrecord.h"
#include "decisions/workqueue.h"

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace guavavalve::internal {

using TaskSlab = Slab<TaskRecord>;

/// All queues, found by key. A queue without tasks is kept for what it has learned, up to a bound.
class QueueTable
{
public:
    explicit QueueTable(TaskSlab &tasks);

    /// The queue of \a key, made if there is none; counts one more task.
    Index join(const QueueKey &key);

    /// One task fewer refers to the queue.
    void leave(Index queue);

    void link(Index task, bool front);
    void unlink(Index task);

    /// Puts \a substitute, which is not linked, where \a task stands.
    void substitute(Index task, Index substitute);

    WorkQueue &operator[](Index queue) { return this->queues[queue]; }
    const WorkQueue &operator[](Index queue) const { return this->queues[queue]; }
    Index limit() const { return this->queues.limit(); }
    std::size_t size() const { return this->queues.size(); }

private:
    struct KeyHash
    {
        std::size_t operator()(const QueueKey &key) const;
    };

    void evictIdle();

    TaskSlab &tasks;
    Slab<WorkQueue> queues;
    std::unordered_map<QueueKey, Index, KeyHash> byKey;
    std::deque<Index> idle; ///< may hold queues that are in use again
};

} // namespace guavavalve::internal
