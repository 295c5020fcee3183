#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace guavavalve {

/// One entry instance as the controller knows it.
struct EntryInfo
{
    InstanceId instance;
    std::string address; ///< "ip:port" of its messenger; empty until it has been heard
    bool holdsReplica = false; ///< has a data folder, whether or not it is a member
    std::uint64_t configurationVersion = 0; ///< that it has in force
    Instant deadAt{}; ///< taken for dead when it has not been heard by then
};

/// The entry instances that the controller hears from. Thread safe.
class EntryTable
{
public:
    /// The entry was heard; it is alive until its deadAt.
    void heard(const EntryInfo &entry);

    /// A new controller knows \a instance from the state alone and gives it until \a deadAt.
    void expect(const InstanceId &instance, Instant deadAt);

    void clear();

    /// The address of \a instance; empty if it is not known.
    std::string address(const InstanceId &instance) const;

    /// \a preferred if it is alive, otherwise the living entry next in turn; empty if none is.
    InstanceId pick(const InstanceId &preferred, Instant now);

    /// Takes out the entries that have not been heard in time.
    std::vector<InstanceId> takeDead(Instant now);

    std::vector<EntryInfo> entries() const;

private:
    mutable std::mutex mutex;
    std::map<InstanceId, EntryInfo> table;
    InstanceId lastPicked;
};

} // namespace guavavalve
