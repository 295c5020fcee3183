#include "replicas/groupmanager.h"

#include "replicas/presencetable.h"

#include <algorithm>
#include <utility>

namespace guavavalve {

namespace {

/// An instance that has not said within this time that it is there is not taken in.
constexpr Milliseconds presenceLimit{1500};
constexpr Milliseconds formRetry{600}; ///< after a formation that failed

} // namespace

GroupManager::GroupManager(GroupManagerOptions options, ReplicatedLog &log,
                           const PresenceTable &presence)
    : options(std::move(options))
    , log(log)
    , presence(presence)
{
    auto &initialMembers = this->options.initialMembers;
    std::sort(initialMembers.begin(), initialMembers.end(),
              [](const auto &a, const auto &b) { return a.address < b.address; });
    const auto self =
        std::find_if(initialMembers.begin(), initialMembers.end(), [&](const auto &founder) {
            return founder.instance == this->options.self.instance;
        });
    // One after the other: two formations at once would keep members from each other.
    if (self != initialMembers.end())
        this->formAt =
            this->options.clock() + (self - initialMembers.begin()) * this->options.formStagger;
}

void GroupManager::tick()
{
    const ReplicaStatus status = this->log.status();
    const Instant now = this->options.clock();
    if (!status.formed) {
        if (now >= this->formAt)
            this->form();
        return;
    }
    if (status.role == ReplicaRole::Leader && now >= this->nextJoin) {
        this->nextJoin = now + this->options.joinInterval;
        this->takeIn(status);
    }
}

void GroupManager::form()
{
    this->formAt = Instant::max();
    this->log.form(this->options.initialMembers,
                   [weak = this->weak_from_this()](const Result<Nothing> &formed) {
                       const auto self = weak.lock();
                       if (self && !formed && formed.error().code != ErrorCode::NotLeader)
                           self->formAt = self->options.clock() + formRetry;
                   });
}

void GroupManager::takeIn(const ReplicaStatus &status)
{
    if (status.members.size() >= this->options.voters)
        return;
    for (const PresenceReport &report : this->presence.present(presenceLimit)) {
        const bool isMember =
            std::any_of(status.members.begin(), status.members.end(),
                        [&](const auto &member) { return member.instance == report.instance; });
        if (!report.holdsReplica || isMember)
            continue;
        // Refused while another change is under way; it is tried again.
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
