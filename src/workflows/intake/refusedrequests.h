#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace guavavalve::workflows {

/// Requests that were refused, for as long as an earlier attempt of theirs may still arrive, and
/// longer if there is space: until their callers are expected back.
class RefusedRequests
{
public:
    struct Refusal
    {
        Instant firstAt{}; ///< since when the caller has been waiting
        Instant lastAt{};
        Instant promisedUntil{}; ///< until then an earlier attempt may still arrive
        Instant retryAt{}; ///< when the caller may come back
    };

    explicit RefusedRequests(std::size_t maxSize)
        : maxSize(maxSize)
    {}

    /// True if a refusal of \a id would be remembered.
    bool hasSpaceFor(WorkflowId id, Instant now);
    /// Precondition: hasSpaceFor().
    void refused(WorkflowId id, const std::string &queue, const std::string &account,
                 const Refusal &refusal);
    /// The caller of \a id no longer waits to come back.
    void accepted(WorkflowId id);
    std::optional<Refusal> find(WorkflowId id, Instant now) const;
    /// Number of remembered callers that wait to come back.
    std::size_t waiting(const std::string &queue, const std::string &account) const;
    std::size_t size() const { return this->entries.size(); }
    void dropOld(Instant now);
    void clear();

private:
    using Group = std::pair<std::string, std::string>; ///< queue and account
    struct Entry
    {
        Refusal refusal;
        Group group;
        bool isWaiting = true;
        Instant until{};
    };

    void stopWaiting(Entry &entry);
    void erase(WorkflowId id);

    std::size_t maxSize;
    std::unordered_map<WorkflowId, Entry> entries;
    std::set<std::pair<Instant, WorkflowId>> byExpiry;
    std::map<Group, std::size_t> waitingByGroup;
};

} // namespace guavavalve::workflows
