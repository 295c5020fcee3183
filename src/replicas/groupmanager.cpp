#include "replicas/groupmanager.h"

#include "replicas/presencetable.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

/// An instance whose last presence report is older than this is not added.
constexpr Milliseconds presenceTimeout{1500};

} // namespace

GroupManager::GroupManager(GroupManagerOptions options, ReplicatedLog &log,
                           const PresenceTable &presence)
    : options(std::move(options))
    , log(log)
    , presence(presence)
{
    auto &founders = this->options.founders;
    std::sort(founders.begin(), founders.end(),
              [](const auto &a, const auto &b) { return a.address < b.address; });
    const auto self = std::find_if(founders.begin(), founders.end(), [&](const auto &founder) {
        return founder.instance == this->options.self.instance;
    });
    if (self != founders.end())
        this->turn = static_cast<std::size_t>(self - founders.begin());
}

void GroupManager::tick()
{
    const ReplicaStatus status = this->log.status();
    const Instant now = this->options.clock();
    if (!status.formed) {
        this->formIfNothingIsStored(now);
        return;
    }
    if (status.role == ReplicaRole::Leader && now >= this->nextJoin) {
        this->nextJoin = now + this->options.joinInterval;
        this->addPresentInstance(status);
    }
}

/// The founders and, in the order of their names, other instances with a disk that are present,
/// up to the number of voters; empty if there are too few.
std::vector<ReplicaMember> GroupManager::emptyInstances() const
{
    std::vector<ReplicaMember> found = this->options.founders;
    for (const PresenceReport &report : this->presence.present(presenceTimeout)) {
        const bool isFounder = std::any_of(found.begin(), found.end(), [&](const auto &member) {
            return member.instance == report.instance;
        });
        if (report.holdsReplica && !isFounder && found.size() < this->options.voters)
            found.push_back({report.instance, report.address});
    }
    return found.size() < this->options.voters ? std::vector<ReplicaMember>() : found;
}

/// ReplicatedLog::form() fails unless all of them answer, and none takes part in a group.
void GroupManager::formIfNothingIsStored(Instant now)
{
    if (!this->turn)
        return;
    std::vector<ReplicaMember> members = this->emptyInstances();
    if (members.empty())
        return;
    // Staggered: concurrent formations would reserve members and so make each other fail.
    if (this->formAt == Instant::max())
        this->formAt = now + (*this->turn + 1) * this->options.formStagger;
    if (now < this->formAt)
        return;
    this->formAt = Instant::max();
    this->log.form(std::move(members),
                   [hook = this->options.onFormation](const Result<Nothing> &formed) {
                       if (hook)
                           hook(formed);
                   });
}

void GroupManager::addPresentInstance(const ReplicaStatus &status)
{
    if (status.members.size() >= this->options.voters)
        return;
    for (const PresenceReport &report : this->presence.present(presenceTimeout)) {
        const bool isMember =
            std::any_of(status.members.begin(), status.members.end(),
                        [&](const auto &member) { return member.instance == report.instance; });
        if (!report.holdsReplica || isMember)
            continue;
        // Rejected while another membership change is in progress; retried after joinInterval.
        this->log.addMember({report.instance, report.address}, [](const Result<Nothing> &) {});
        return;
    }
}

bool GroupManager::isComplete() const
{
    const ReplicaStatus status = this->log.status();
    const auto voters = std::count_if(status.members.begin(), status.members.end(),
                                      [](const auto &member) { return member.voter; });
    return status.formed && static_cast<std::size_t>(voters) >= this->options.voters;
}

} // namespace guavavalve
