#pragma once

#include "core/clock.h"
#include "workflows/ids.h"

#include <map>
#include <set>
#include <string>

namespace guavavalve::workflows {

/// A target's leave to run a step.
struct Admission
{
    std::string ticket; ///< shown to the target with each start
    Instant validUntil{};
};

/// What the admission service has said of one step. Whether a target may run it does not change;
/// the ticket that proves it runs out.
struct StepAdmissions
{
    std::map<LifeNumber, Admission> admitted;
    std::set<LifeNumber> refused;
    std::set<LifeNumber> asked; ///< targets that questions under way name
    Instant nextQuestionAt{}; ///< not before, after one that failed

    const Admission *valid(LifeNumber life, Instant now) const
    {
        const auto found = this->admitted.find(life);
        return found == this->admitted.end() || found->second.validUntil <= now ? nullptr
                                                                                : &found->second;
    }
};

using AdmissionTable = std::map<StepAddress, StepAdmissions>;

} // namespace guavavalve::workflows
