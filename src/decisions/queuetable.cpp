#include "decisions/queuetable.h"

namespace guavavalve::internal {

namespace {

/// Empty queues that are kept for their learned profile. Bounds the memory that callers could take
/// up by declaring ever new sizes.
constexpr std::size_t maxIdleQueues = 8192;

} // namespace

std::size_t QueueTable::KeyHash::operator()(const QueueKey &key) const
{
    std::uint64_t hash = key.team;
    const auto mix = [&hash](std::uint64_t value) {
        hash = (hash ^ value) * 0x9e3779b97f4a7c15ULL;
        hash ^= hash >> 29U;
    };
    mix(static_cast<std::uint64_t>(key.workClass));
    mix(key.gangSize);
    for (const std::int64_t amount : key.need.amounts)
        mix(static_cast<std::uint64_t>(amount));
    return hash;
}

QueueTable::QueueTable(TaskSlab &taskSlab)
    : tasks(taskSlab)
{}

Index QueueTable::acquireReference(const QueueKey &key)
{
    const auto [entry, isNew] = this->byKey.try_emplace(key, noIndex);
    if (isNew) {
        entry->second = this->queues.add();
        WorkQueue &queue = this->queues[entry->second];
        queue.key = key;
        queue.charge = key.need;
    }
    ++this->queues[entry->second].references;
    return entry->second;
}

void QueueTable::dropReference(Index queue)
{
    if (--this->queues[queue].references > 0)
        return;
    this->idle.push_back(queue);
    if (this->idle.size() > maxIdleQueues)
        this->evictIdle();
}

void QueueTable::evictIdle()
{
    const Index index = this->idle.front();
    this->idle.pop_front();
    WorkQueue &queue = this->queues[index];
    if (queue.references > 0)
        return; // in use again; re-added when its last reference is dropped
    const auto entry = this->byKey.find(queue.key);
    // The list contains an index twice if the queue became idle, was used and became idle again.
    if (entry == this->byKey.end() || entry->second != index)
        return;
    this->byKey.erase(entry);
    queue.key = QueueKey();
    this->queues.remove(index);
}

void QueueTable::link(Index index, bool front)
{
    TaskRecord &task = this->tasks[index];
    WorkQueue &queue = this->queues[task.queue];
    task.linked = true;
    task.previous = front ? noIndex : queue.tail;
    task.next = front ? queue.head : noIndex;
    (task.previous == noIndex ? queue.head : this->tasks[task.previous].next) = index;
    (task.next == noIndex ? queue.tail : this->tasks[task.next].previous) = index;
    ++queue.count;
}

void QueueTable::unlink(Index index)
{
    TaskRecord &task = this->tasks[index];
    WorkQueue &queue = this->queues[task.queue];
    (task.previous == noIndex ? queue.head : this->tasks[task.previous].next) = task.next;
    (task.next == noIndex ? queue.tail : this->tasks[task.next].previous) = task.previous;
    task.previous = noIndex;
    task.next = noIndex;
    task.linked = false;
    --queue.count;
}

void QueueTable::substitute(Index index, Index substitute)
{
    TaskRecord &task = this->tasks[index];
    TaskRecord &other = this->tasks[substitute];
    WorkQueue &queue = this->queues[task.queue];
    other.previous = task.previous;
    other.next = task.next;
    other.linked = true;
    (task.previous == noIndex ? queue.head : this->tasks[task.previous].next) = substitute;
    (task.next == noIndex ? queue.tail : this->tasks[task.next].previous) = substitute;
    task.previous = noIndex;
    task.next = noIndex;
    task.linked = false;
}

} // namespace guavavalve::internal
