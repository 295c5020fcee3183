#pragma once

#include "workflows/planning/internal/planroom.h"

#include <optional>
#include <vector>

namespace guavavalve::workflows::internal {

/// Decides which admission queries to send about a step that could not be placed.
class AdmissionQueryPlanner
{
public:
    AdmissionQueryPlanner(const PlanInput &input, PlanRoom &room);

    /// Empty while answers are pending, if a query would not help now, or if no instance can send
    /// it soon.
    /// \a isNextInLine: the step is a gang that room is reserved for, now or soon.
    std::vector<AdmissionQuery> plan(const ReadyStep &step, bool isNextInLine);

    /// True if no instance could send a query that the latest plan() wanted for its step.
    bool wasDenied() const { return this->isDenied; }
    /// True if the step needs a query now, whether or not an instance can send it.
    bool needsQuery(const ReadyStep &step, bool isNextInLine) const
    {
        return !this->decide(step, isNextInLine).empty();
    }
    /// True if no instance could send even a query about a single target.
    bool isExhaustedFor(const ReadyStep &step) const;

private:
    std::vector<AdmissionQuery> decide(const ReadyStep &step, bool isNextInLine) const;
    std::vector<AdmissionQuery> renewGang(const ReadyStep &step, const StepAdmissions &known) const;
    std::vector<AdmissionQuery> renewForSingleTasks(const ReadyStep &step,
                                                    const StepAdmissions &known) const;
    std::vector<AdmissionQuery> explore(const ReadyStep &step) const;
    std::vector<AdmissionQuery> exploreForGang(const ReadyStep &step,
                                               const std::vector<IncarnationId> &unknown) const;
    std::vector<AdmissionQuery> refreshGang(const ReadyStep &step,
                                            const StepAdmissions &known) const;
    bool knowsEnoughTargets(const ReadyStep &step) const;
    bool hasIdleInstances() const;
    double admittedFraction(const ReadyStep &step) const;
    void reserveQueriers(const ReadyStep &step, std::vector<AdmissionQuery> &queries);

    const PlanInput &input;
    PlanRoom &room;
    std::size_t open = 0; ///< pending queries, including those of this plan
    /// Queries of this processing time and longer ones cannot be sent in this plan.
    std::optional<Milliseconds> exhaustedFrom;
    bool isDenied = false;
};

/// Number of the step's tasks that fit into \a room.
std::uint16_t slotsIn(const ReadyStep &step, const Resources &room);
/// Number of further tasks of the step that the target has room for.
std::uint16_t slotsOn(const ReadyStep &step, const OpenTarget &target);

} // namespace guavavalve::workflows::internal
