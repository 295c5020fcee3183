#pragma once

#include "core/clock.h"
#include "replicas/presence.h"

#include <map>
#include <mutex>
#include <vector>

namespace guavavalve {

/// The latest presence report of each instance. Thread-safe.
class PresenceTable
{
public:
    explicit PresenceTable(Clock clock = monotonicNow);

    void record(const PresenceReport &report);
    /// The reports that are no older than \a maxAge, ordered by instance.
    std::vector<PresenceReport> present(Milliseconds maxAge) const;

private:
    struct Entry
    {
        PresenceReport report;
        Instant receivedAt{};
    };

    void dropExpired(Instant now);

    Clock clock;
    mutable std::mutex mutex;
    std::map<InstanceId, Entry> entries;
    Instant nextExpiry{}; ///< when expired entries are dropped next
};

} // namespace guavavalve
