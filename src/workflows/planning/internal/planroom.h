#pragma once

#include "workflows/planning/internal/readystep.h"
#include "workflows/planning/planner.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavavalve::workflows::internal {

/// The room that is left while a plan is made: on each open target, and below each client account's
/// limit. Claimed room is available only to the step that claims it.
class PlanRoom
{
public:
    explicit PlanRoom(const PlanInput &input);

    std::vector<OpenTarget> &targets() { return this->open; }
    const std::vector<OpenTarget> &targets() const { return this->open; }
    OpenTarget *find(IncarnationId incarnation);

    /// Reserves the room that steps of \a priority and of more urgent ones claim. Call with
    /// increasing priority values: a step may use room that less urgent steps claim.
    void reserveClaims(std::uint32_t priority);
    /// Sum of the claims that reserveClaims() has reserved so far.
    std::int64_t claimedMilliCores() const { return this->claimed; }
    /// Makes the room that a step claims available to it.
    void releaseClaim(const ReadyStep &step);
    /// Reserves the room again that a step claims.
    void restoreClaim(const ReadyStep &step);
    /// Reserves room for a step against the steps that come later in this plan.
    void reserveRoom(const ReadyStep &step, const std::map<IncarnationId, std::uint16_t> &claim);

    /// Takes the room for one task of the step from the target and from the client account.
    void allocate(const ReadyStep &step, OpenTarget &target);
    /// Undoes an allocation.
    void release(const ReadyStep &step, OpenTarget &target);

    /// True if \a more further tasks of the step would exceed the limit of its client account.
    bool isOverLimit(const ReadyStep &step, std::size_t more) const;
    /// True if service and label match, and a gang's target is not on probation: one failing member
    /// ends all the others.
    static bool mayRun(const ReadyStep &step, const OpenTarget &target);
    /// The targets that the step may be started on now, regardless of room: its admissions there
    /// are still valid, or it needs none.
    std::vector<OpenTarget *> admittedTargets(const ReadyStep &step);
    /// True if the step has a valid admission for the target, or needs none.
    bool isAdmitted(const ReadyStep &step, IncarnationId incarnation) const;
    /// True if, as far as is known, the step's tasks may be started on the target once it has room,
    /// possibly after renewing their tickets.
    bool mayStart(const ReadyStep &step, const OpenTarget &target) const;

private:
    void addClaim(const ReadyStep &step, std::int64_t sign);
    std::int64_t claimOf(const ReadyStep &step) const;
    void addRoom(const ReadyStep &step, const std::map<IncarnationId, std::uint16_t> &tasks,
                 std::int64_t sign);

    const PlanInput &input;
    std::vector<OpenTarget> open; ///< ordered by incarnation
    std::multimap<std::uint32_t, ReadyStep> unreservedClaims; ///< by priority; not reserved yet
    std::int64_t claimed = 0;
    std::map<std::string, Resources> accounts;
};

} // namespace guavavalve::workflows::internal
