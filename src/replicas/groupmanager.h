#pragma once

#include "core/clock.h"
#include "replicas/replicatedlog.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavavalve {

class PresenceTable;

struct GroupManagerOptions
{
    ReplicaMember self;
    /// The members that the settings name; the same list on every instance at the first start.
    std::vector<ReplicaMember> founders;
    std::size_t voters = 5; ///< 2f + 1, to tolerate the loss of f voters
    /// Delay between the formation attempts of successive founders, ordered by address.
    Milliseconds formStagger{1000};
    Milliseconds joinInterval{250}; ///< between two attempts to add an instance
    /// Called with the outcome of each attempt to form the group. Called on the log's thread.
    std::function<void(const Result<Nothing> &)> onFormation;
    Clock clock = monotonicNow;
};

/// Completes a group's membership without an operator: adds instances with a disk until the group
/// has the configured number of voters. The log itself founds the group at the first start
/// (RaftOptions::founders) and replaces a voter that is gone for good (RaftOptions::goneAfter).
///
/// Also forms the group if its first start ended before the founders had stored anything: once all
/// founders and as many instances as the group is to have voters are heard, and none of their disks
/// holds anything of a group. An acknowledged change is on the disks of a majority of the voters,
/// so at most f lost disks leave one that still holds it.
class GroupManager : public std::enable_shared_from_this<GroupManager>
{
public:
    GroupManager(GroupManagerOptions options, ReplicatedLog &log, const PresenceTable &presence);

    /// Takes the next step that is due. To be called often, always from the same thread.
    void tick();

    /// True once the group is formed and has the configured number of voters.
    bool isComplete() const;

private:
    void formIfNothingIsStored(Instant now);
    std::vector<ReplicaMember> emptyInstances() const;
    void addPresentInstance(const ReplicaStatus &status);

    GroupManagerOptions options;
    ReplicatedLog &log;
    const PresenceTable &presence;
    std::optional<std::size_t> turn; ///< of this founder among all; empty: not a founder
    Instant formAt = Instant::max(); ///< the next attempt to form the group
    Instant nextJoin{};
};

} // namespace guavavalve
