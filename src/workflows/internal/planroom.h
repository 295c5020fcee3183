#pragma once

#include "workflows/internal/readystep.h"
#include "workflows/planner.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows::internal {

/// The room that a plan may still give away: on each open target, and below each client account's
/// limit. Claimed room belongs to the step that claims it.
class PlanRoom
{
public:
    explicit PlanRoom(const PlanInput &input);

    std::vector<OpenTarget> &targets() { return this->open; }
    const std::vector<OpenTarget> &targets() const { return this->open; }
    OpenTarget *find(IncarnationId incarnation);

    /// Takes the room out that steps of \a priority and of more urgent ones claim. To be called
    /// with rising priorities: a step may use what less urgent ones claim.
    void holdClaims(std::uint32_t priority);
    /// What steps claim, of those that holdClaims() has come to.
    std::int64_t claimedMilliCores() const { return this->claimed; }
    /// Hands a step the room that it claims, and takes it back.
    void openClaim(const ReadyStep &step);
    void closeClaim(const ReadyStep &step);
    /// Keeps room for a step from the steps that come after it in this plan.
    void keep(const ReadyStep &step, const std::map<IncarnationId, std::uint16_t> &claim);

    void take(const ReadyStep &step, OpenTarget &target);
    void giveBack(const ReadyStep &step, OpenTarget &target);

    /// True if \a more tasks of the step would bring its account over its limit.
    bool isOverLimit(const ReadyStep &step, std::size_t more) const;
    /// Service and label allow it, and a target on probation is given no member of a gang: one that
    /// fails ends all others.
    static bool mayRun(const ReadyStep &step, const OpenTarget &target);
    /// The targets that the step may be started on now, as far as room is not asked about: its
    /// admissions there are still good, or it needs none.
    std::vector<OpenTarget *> admittedTargets(const ReadyStep &step);
    /// The step has an admission there that is still good, or needs none.
    bool isAdmitted(const ReadyStep &step, IncarnationId incarnation) const;
    /// Its tasks may be started there once there is room, for all that is known: their tickets may
    /// have to be renewed first.
    bool mayStart(const ReadyStep &step, const OpenTarget &target) const;

private:
    void addClaim(const ReadyStep &step, std::int64_t sign);
    std::int64_t claimOf(const ReadyStep &step) const;
    void addRoom(const ReadyStep &step, const std::map<IncarnationId, std::uint16_t> &tasks,
                 std::int64_t sign);

    const PlanInput &input;
    std::vector<OpenTarget> open; ///< by life
    std::multimap<std::uint32_t, ReadyStep> claiming; ///< by priority; not held yet
    std::int64_t claimed = 0;
    std::map<std::string, Resources> accounts;
};

} // namespace guavavalve::workflows::internal
