#pragma once

#include "workflows/internal/planroom.h"

#include <vector>

namespace guavavalve::workflows::internal {

/// Decides what the admission service is asked about a step that found no place.
class AdmissionQueryPlanner
{
public:
    AdmissionQueryPlanner(const PlanInput &input, PlanRoom &room);

    /// None: answers are awaited, or a question would not help now.
    /// \a isNearTurn: the step is a gang that room is let gather for, now or soon.
    std::vector<AdmissionQuery> make(const ReadyStep &step, bool isNearTurn);

private:
    std::vector<AdmissionQuery> decide(const ReadyStep &step, bool isNearTurn) const;
    std::vector<AdmissionQuery> renewGang(const ReadyStep &step, const StepAdmissions &known) const;
    std::vector<AdmissionQuery> renewSingles(const ReadyStep &step,
                                             const StepAdmissions &known) const;
    std::vector<AdmissionQuery> explore(const ReadyStep &step) const;
    std::vector<AdmissionQuery> exploreForGang(const ReadyStep &step,
                                               const std::vector<IncarnationId> &unknown) const;
    std::vector<AdmissionQuery> refreshGang(const ReadyStep &step,
                                            const StepAdmissions &known) const;
    bool knowsEnough(const ReadyStep &step) const;
    bool hasIdleAskers() const;
    double admittedPart(const ReadyStep &step) const;

    const PlanInput &input;
    PlanRoom &room;
    std::size_t open = 0; ///< questions that wait for their answers, with those of this plan
};

/// How many tasks of the step fit into the room.
std::uint16_t slotsIn(const ReadyStep &step, const Resources &room);
/// How many more tasks of the step the target has room for.
std::uint16_t slotsOn(const ReadyStep &step, const OpenTarget &target);

} // namespace guavavalve::workflows::internal
