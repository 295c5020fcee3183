#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/error.h"
#include "replicas/formationhooks.h"
#include "replicas/founding.h"
#include "replicas/raftmessage.h"
#include "replicas/raftoptions.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace guavavalve {

class RaftCore;

/// Decides into which group a replica is formed: resumes the founding of the first start, forms a
/// group by reserving its members, and lets itself be reserved. Without I/O or threads; to be used
/// on the thread that owns the core.
class GroupFormation
{
public:
    GroupFormation(const RaftOptions &options, RaftCore &core, FormationHooks hooks);

    /// True if this replica is a founder and has now written the group's first entry to the core,
    /// whose output is to be stored before anything is sent.
    bool resumeFounding();
    /// Reserves or releases this replica as \a request asks, and says which one it is.
    IdentityReply onIdentifyRequest(const IdentifyRequest &request);
    /// To be called with each message before RaftCore::receive().
    void onMessage(const RaftMessage &message);
    /// Forms the group of \a members, all of which must answer and take part in no group.
    /// \errors Conflict; Unavailable if one does not answer; InvalidArgument if another instance
    /// does.
    void form(const std::vector<ReplicaMember> &members, const Done<Nothing> &done);

private:
    struct Pending;

    bool knowsOtherFounders() const;
    bool mayJoin(Instant now) const;
    void noteGroup(const RaftMessage &message);
    void leaveFounding(const RaftMessage &message);
    Result<void> checkFree() const;
    void reserveMembers(const std::shared_ptr<Pending> &pending,
                        const std::vector<ReplicaMember> &members);
    void onMemberIdentified(const std::shared_ptr<Pending> &pending, std::size_t position,
                            const Result<IdentityReply> &identity);
    Result<void> checkPending(const Pending &pending) const;
    void formWhenIdentified(const std::shared_ptr<Pending> &pending);
    void releaseMembers(const std::shared_ptr<Pending> &pending);

    InstanceId instance;
    Clock clock;
    std::function<std::uint64_t()> random;
    Founding founding; ///< of the first start
    RaftCore &core;
    FormationHooks hooks;
    std::uint64_t reservedFor = 0; ///< a formation; zero: none
    Instant reservedUntil{};
    Instant groupHeardAt{}; ///< last message from a group with more than its first entry
};

} // namespace guavavalve
