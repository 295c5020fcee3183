#pragma once

#include "core/clock.h"
#include "replicas/presence.h"

#include <map>
#include <mutex>
#include <vector>

namespace guavavalve {

/// The instances that have lately said that they are there. Thread safe.
class PresenceTable
{
public:
    explicit PresenceTable(Clock clock = monotonicNow);

    void record(const PresenceReport &report);
    /// Those heard within \a within, by instance.
    std::vector<PresenceReport> present(Milliseconds within) const;

private:
    struct Entry
    {
        PresenceReport report;
        Instant heardAt{};
    };

    Clock clock;
    mutable std::mutex mutex;
    std::map<InstanceId, Entry> entries;
};

} // namespace guavavalve
