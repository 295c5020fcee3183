#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "replicas/replicatedlog.h"

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace guavavalve {

/// What a replica is to its group, by its own view.
enum class ReplicaMembership : std::uint8_t {
    Unformed, ///< in no group: its disk holds nothing of one, and no group has admitted it
    Learner, ///< receives the log and does not vote yet
    Voter,
    Removed, ///< its disk holds the log of a group that does not list it
};

inline constexpr EnumNames<ReplicaMembership, 4> replicaMembershipNames{{
    {ReplicaMembership::Unformed, "unformed"},
    {ReplicaMembership::Learner, "learner"},
    {ReplicaMembership::Voter, "voter"},
    {ReplicaMembership::Removed, "removed"},
}};

/// The membership of \a self according to \a status.
ReplicaMembership membershipOf(const ReplicaStatus &status, const InstanceId &self);

/// Reports changes of a replica's membership and of the list of members, and repeats the report
/// while the replica cannot take part in a working group: so long as it is in none, or knows no
/// leader.
class MembershipMonitor
{
public:
    struct Report
    {
        ReplicaMembership membership = ReplicaMembership::Unformed;
        ReplicaStatus status;
        std::size_t voters = 0;
        Milliseconds lasted{
            0}; ///< how long membership and knowledge of a leader have been the same
    };
    using Reporter = std::function<void(const Report &)>;

    MembershipMonitor(InstanceId self, Reporter reporter, Clock clock = monotonicNow);

    /// Call at regular intervals, always from the same thread.
    void update(const ReplicaStatus &status);

private:
    InstanceId self;
    Reporter reporter;
    Clock clock;
    std::optional<ReplicaMembership> last;
    bool knewLeader = false;
    std::vector<std::pair<InstanceId, bool>> lastMembers; ///< and whether they vote
    Instant since{};
    Instant nextRepetition{};
};

} // namespace guavavalve
