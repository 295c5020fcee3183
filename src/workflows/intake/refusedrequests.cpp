#include "workflows/intake/refusedrequests.h"

#include <algorithm>
#include <cassert>

namespace guavavalve::workflows {

namespace {

/// How much later than at its Retry-After a caller is expected back.
constexpr Milliseconds returnSlack{2000};

} // namespace

bool RefusedRequests::hasSpaceFor(WorkflowId id, Instant now)
{
    this->dropOld(now);
    if (this->entries.count(id) != 0 || this->entries.size() < this->maxSize)
        return true;
    if (this->byExpiry.empty())
        return false;
    const WorkflowId first = this->byExpiry.begin()->second;
    if (this->entries.at(first).refusal.promisedUntil > now)
        return false;
    this->erase(first);
    return true;
}

void RefusedRequests::refused(WorkflowId id, const std::string &queue, const std::string &account,
                              const Refusal &refusal)
{
    this->erase(id);
    assert(this->entries.size() < this->maxSize && "check hasSpaceFor() before refusing");
    Entry entry;
    entry.refusal = refusal;
    entry.group = {queue, account};
    entry.until = std::max(refusal.promisedUntil, refusal.retryAt + returnSlack);
    ++this->waitingByGroup[entry.group];
    this->byExpiry.emplace(entry.until, id);
    this->entries.emplace(id, std::move(entry));
}

void RefusedRequests::accepted(WorkflowId id)
{
    const auto found = this->entries.find(id);
    if (found != this->entries.end())
        this->stopWaiting(found->second);
}

std::optional<RefusedRequests::Refusal> RefusedRequests::find(WorkflowId id, Instant now) const
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.refusal;
}

std::size_t RefusedRequests::waiting(const std::string &queue, const std::string &account) const
{
    const auto found = this->waitingByGroup.find({queue, account});
    return found == this->waitingByGroup.end() ? 0 : found->second;
}

void RefusedRequests::dropOld(Instant now)
{
    while (!this->byExpiry.empty() && this->byExpiry.begin()->first <= now)
        this->erase(this->byExpiry.begin()->second);
}

void RefusedRequests::clear()
{
    this->entries.clear();
    this->byExpiry.clear();
    this->waitingByGroup.clear();
}

void RefusedRequests::stopWaiting(Entry &entry)
{
    if (!std::exchange(entry.isWaiting, false))
        return;
    const auto group = this->waitingByGroup.find(entry.group);
    if (--group->second == 0)
        this->waitingByGroup.erase(group);
}

void RefusedRequests::erase(WorkflowId id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
        return;
    this->stopWaiting(found->second);
    this->byExpiry.erase({found->second.until, id});
    this->entries.erase(found);
}

} // namespace guavavalve::workflows
