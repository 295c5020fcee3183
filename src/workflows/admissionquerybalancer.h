#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace guavavalve::workflows {

/// Decides which instance puts the next question to the admission service, which answers one
/// question at a time for each instance that asks. Pure; not thread-safe.
///
/// A question goes to the instance whose questions will be answered first. Longer questions stay
/// away from the first few instances in the list. An instance that has not answered yet is tried
/// with two questions, and one whose answer is overdue gets no more until it comes.
class AdmissionQueryBalancer
{
public:
    /// One of \a instances, for a question that takes \a expected once its turn has come; it counts
    /// as asked from then on. Nothing: all have enough to ask, and the question is better decided
    /// on again later.
    std::optional<InstanceId> choose(const std::vector<InstanceId> &instances,
                                     Milliseconds expected, Instant now);

    /// When \a instance will probably have all its questions answered.
    Instant busyUntil(const InstanceId &instance) const;

    /// \a instance is known to be there: it is this one.
    void trust(const InstanceId &instance) { this->loads[instance].hasAnswered = true; }

    /// A question of \a instance has been answered, or has failed.
    void answered(const InstanceId &instance, bool hasFailed, Instant now);

private:
    struct Load
    {
        Instant busyUntil{};
        std::size_t underWay = 0; ///< questions
        bool hasAnswered = false;
    };

    static bool mayAsk(const Load &load, Instant now);

    std::map<InstanceId, Load> loads;
};

} // namespace guavavalve::workflows
