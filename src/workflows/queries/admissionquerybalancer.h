#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace guavavalve::workflows {

/// Chooses the instance that sends the next query to the admission service, which processes the
/// queries of each instance one at a time. Pure; not thread-safe.
///
/// A query goes to the instance that is expected to be idle first, and of several idle ones to the
/// one that has answered last, because it is the least likely to have failed since. The first few
/// instances in the list are closed to longer queries. An instance that has not answered yet gets
/// two queries at most, and one whose answer is overdue gets no more until the answer arrives.
class AdmissionQueryBalancer
{
public:
    /// Chooses one of \a instances for a query that takes \a expected to process, and counts the
    /// query as pending there. Empty if all instances have enough pending: the query is then better
    /// made later, with newer data.
    std::optional<InstanceId> choose(const std::vector<InstanceId> &instances,
                                     Milliseconds expected, Instant now);

    /// When all pending queries of \a instance are expected to be answered.
    Instant busyUntil(const InstanceId &instance) const;

    /// Treats \a instance as responsive although it has not answered yet. Used for the local
    /// instance.
    void trust(const InstanceId &instance) { this->loads[instance].hasAnswered = true; }

    /// A query of \a instance has been answered or has failed.
    void answered(const InstanceId &instance, bool hasFailed, Instant now);

private:
    struct Load
    {
        Instant busyUntil{};
        std::size_t pending = 0; ///< queries
        bool hasAnswered = false;
        Instant answeredAt{}; ///< of the newest answer
    };

    static bool mayQuery(const Load &load, Instant now);

    std::unordered_map<InstanceId, Load> loads;
};

} // namespace guavavalve::workflows
