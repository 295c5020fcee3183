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

/// All queues, by key. Queues without tasks are kept for their learned profile, up to a limit.
class QueueTable
{
public:
    explicit QueueTable(TaskSlab &tasks);

    /// The queue of \a key; creates it if there is none. Adds a reference for one task.
    Index acquireReference(const QueueKey &key);

    /// Drops one task's reference to the queue.
    void dropReference(Index queue);

    void link(Index task, bool front);
    void unlink(Index task);

    /// Replaces \a task in its queue by \a substitute, which must not be linked.
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
    std::deque<Index> idle; ///< may contain queues that are in use again
};

} // namespace guavavalve::internal
