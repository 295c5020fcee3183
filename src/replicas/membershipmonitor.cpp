#include "replicas/membershipmonitor.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

/// Interval of the reports of one lasting trouble.
constexpr Milliseconds repetitionInterval{2000};

} // namespace

ReplicaMembership membershipOf(const ReplicaStatus &status, const InstanceId &self)
{
    if (!status.formed)
        return ReplicaMembership::Unformed;
    const auto found = std::find_if(status.members.begin(), status.members.end(),
                                    [&](const auto &member) { return member.instance == self; });
    if (found == status.members.end())
        return ReplicaMembership::Removed;
    return found->voter ? ReplicaMembership::Voter : ReplicaMembership::Learner;
}

MembershipMonitor::MembershipMonitor(InstanceId self, Reporter reporter, Clock clock)
    : self(std::move(self))
    , reporter(std::move(reporter))
    , clock(std::move(clock))
{}

void MembershipMonitor::update(const ReplicaStatus &status)
{
    const Instant now = this->clock();
    const ReplicaMembership membership = membershipOf(status, this->self);
    const bool knowsLeader = !status.leader.empty();
    const auto voters =
        static_cast<std::size_t>(std::count_if(status.members.begin(), status.members.end(),
                                               [](const auto &member) { return member.voter; }));
    std::vector<std::pair<InstanceId, bool>> members;
    for (const ReplicaMember &member : status.members)
        members.emplace_back(member.instance, member.voter);
    const bool hasChanged = membership != this->last || knowsLeader != this->knewLeader;
    const bool isWorking = membership != ReplicaMembership::Unformed && knowsLeader;
    if (hasChanged)
        this->since = now;
    const bool isRepeated = !isWorking && now >= this->nextRepetition;
    if (!hasChanged && members == this->lastMembers && !isRepeated)
        return;
    this->last = membership;
    this->knewLeader = knowsLeader;
    this->lastMembers = std::move(members);
    this->nextRepetition = now + repetitionInterval;
    this->reporter(
        {membership, status, voters, std::chrono::duration_cast<Milliseconds>(now - this->since)});
}

} // namespace guavavalve
