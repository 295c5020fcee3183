#include "replicas/founding.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

/// Set in identities of first starts, and clear in all others.
constexpr std::uint64_t firstStartMark = 1;

} // namespace

Founding::Founding(const std::string &clusterId, GroupId group, std::vector<ReplicaMember> founders)
{
    if (founders.empty())
        return;
    std::sort(founders.begin(), founders.end(),
              [](const auto &a, const auto &b) { return a.instance < b.instance; });
    this->text = encode(clusterId) + encode(group);
    for (const ReplicaMember &founder : founders)
        this->text += encode(founder.instance) + encode(founder.address);
    for (const ReplicaMember &founder : founders) {
        this->list.members.push_back(
            {founder.instance, this->identityOf(founder.instance), founder.address, true});
    }
    this->list.formation = std::max<std::uint64_t>(1, checksumOf(this->text));
}

ReplicaId Founding::identityOf(const InstanceId &instance) const
{
    if (this->text.empty())
        return ReplicaId::None;
    return static_cast<ReplicaId>(checksumOf(this->text + encode(instance)) | firstStartMark);
}

bool Founding::isFounder(const InstanceId &instance) const
{
    const auto &members = this->list.members;
    return std::any_of(members.begin(), members.end(),
                       [&](const auto &member) { return member.instance == instance; });
}

bool Founding::isOfFirstStart(ReplicaId replica)
{
    return (static_cast<std::uint64_t>(replica) & firstStartMark) != 0;
}

ReplicaId Founding::laterIdentity(std::uint64_t number)
{
    return static_cast<ReplicaId>(std::max<std::uint64_t>(2, number & ~firstStartMark));
}

} // namespace guavavalve
