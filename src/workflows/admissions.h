#pragma once

#include "core/clock.h"
#include "workflows/ids.h"

#include <algorithm>
#include <cstddef>
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
    std::map<IncarnationId, Admission> admitted;
    std::set<IncarnationId> refused;
    std::set<IncarnationId> asked; ///< targets that questions under way name
    Instant nextQueryAt{}; ///< not before, after one that failed

    const Admission *valid(IncarnationId incarnation, Instant now) const
    {
        const auto found = this->admitted.find(incarnation);
        return found == this->admitted.end() || found->second.validUntil <= now ? nullptr
                                                                                : &found->second;
    }
};

using AdmissionTable = std::map<StepAddress, StepAdmissions>;

/// Part of the targets asked about that were admitted, over the newest questions.
class AdmittedFraction
{
public:
    void answered(std::size_t asked, std::size_t admitted)
    {
        if (asked == 0)
            return;
        const double part = static_cast<double>(admitted) / static_cast<double>(asked);
        this->value = this->hasAny ? this->value + weightOfNewest * (part - this->value) : part;
        this->hasAny = true;
    }
    /// At least a small part, so that what is asked about stays bounded.
    double mean() const { return std::max(this->value, leastPart); }

private:
    static constexpr double weightOfNewest = 0.05;
    static constexpr double leastPart = 0.02;

    double value = 0.0;
    bool hasAny = false;
};

using AdmittedFractions = std::map<std::string, AdmittedFraction>; ///< by queue

} // namespace guavavalve::workflows
