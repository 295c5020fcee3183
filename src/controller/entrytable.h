#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace guavavalve {

/// The controller's record of one entry instance.
struct EntryInfo
{
    InstanceId instance;
    std::string address; ///< "ip:port" of its messenger; empty until its first heartbeat
    bool holdsReplica = false; ///< has a data folder, so it can host a replica; member or not
    std::uint64_t configurationVersion = 0; ///< the version that it has in force
    Instant deadAt{}; ///< considered dead if no heartbeat arrives before
};

/// The entry instances that send heartbeats to the controller. Thread safe.
class EntryTable
{
public:
    /// Records a heartbeat of \a entry, which is then alive until its deadAt.
    void recordHeartbeat(const EntryInfo &entry);

    /// Adds \a instance, which a new controller knows from the replicated state only, and allows
    /// it until \a deadAt to send a heartbeat. No effect if the instance is in the table already.
    void expectHeartbeat(const InstanceId &instance, Instant deadAt);

    void clear();

    /// The address of \a instance; empty if it is not known.
    std::string address(const InstanceId &instance) const;

    /// Returns \a preferred if it is alive, otherwise the next live entry in round-robin order;
    /// empty if no entry is alive.
    InstanceId pick(const InstanceId &preferred, Instant now);

    /// Removes and returns the entries whose heartbeats are overdue.
    std::vector<InstanceId> takeDead(Instant now);

    std::vector<EntryInfo> entries() const;

private:
    mutable std::mutex mutex;
    std::map<InstanceId, EntryInfo> table;
    InstanceId lastPicked;
};

} // namespace guavavalve
