#pragma once

#include "core/clock.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {

class PresenceTable;

struct GroupManagerOptions
{
    ReplicaMember self;
    /// Who forms the group at the very first start, the same list everywhere; empty: this
    /// instance forms none and waits to be taken in.
    std::vector<ReplicaMember> initialMembers;
    std::size_t voters = 5; ///< twice what may be lost, and one
    /// The founders try one after the other, in the order of their addresses, this far apart.
    Milliseconds formStagger{2500};
    Milliseconds joinInterval{250}; ///< between two tries to take an instance in
    Clock clock = monotonicNow;
};

/// Keeps a group complete without an operator: forms it at the first start, and takes in
/// instances with a disk until the group has as many voters as it should. Replacing a voter that
/// is gone is the log's own part (RaftOptions::goneAfter).
class GroupManager : public std::enable_shared_from_this<GroupManager>
{
public:
    GroupManager(GroupManagerOptions options, ReplicatedLog &log, const PresenceTable &presence);

    /// To be called often, always from one thread.
    void tick();

    /// True once the group is formed and has all its voters.
    bool isComplete() const;

private:
    void form();
    void takeIn(const ReplicaStatus &status);

    GroupManagerOptions options;
    ReplicatedLog &log;
    const PresenceTable &presence;
    Instant formAt = Instant::max();
    Instant nextJoin{};
};

} // namespace guavavalve
