#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace guavavalve::workflows {

/// Permission for a target to run a step.
struct Admission
{
    std::string ticket; ///< presented to the target with each start
    Instant validUntil{};
};

/// The admission service's answers about one step. Whether a target is admitted does not change;
/// the ticket that proves it expires.
struct StepAdmissions
{
    std::map<IncarnationId, Admission> admitted;
    std::set<IncarnationId> refused;
    std::set<IncarnationId> asked; ///< targets named in pending queries
    Instant nextQueryAt{}; ///< earliest time of the next query after a failed one

    const Admission *valid(IncarnationId incarnation, Instant now) const
    {
        const auto found = this->admitted.find(incarnation);
        return found == this->admitted.end() || found->second.validUntil <= now ? nullptr
                                                                                : &found->second;
    }
};

using AdmissionTable = std::map<StepAddress, StepAdmissions>;

/// Fraction of the queried targets that were admitted, as a moving average over the newest queries.
class AdmittedFraction
{
public:
    void answered(std::size_t asked, std::size_t admitted)
    {
        if (asked == 0)
            return;
        const double fraction = static_cast<double>(admitted) / static_cast<double>(asked);
        this->value =
            this->hasAny ? this->value + newestWeight * (fraction - this->value) : fraction;
        this->hasAny = true;
    }
    /// Never below a small minimum, which bounds the number of targets that a query names.
    double mean() const { return std::max(this->value, minFraction); }

private:
    static constexpr double newestWeight = 0.05;
    static constexpr double minFraction = 0.02;

    double value = 0.0;
    bool hasAny = false;
};

using AdmittedFractions = std::map<std::string, AdmittedFraction>; ///< by queue

} // namespace guavavalve::workflows
