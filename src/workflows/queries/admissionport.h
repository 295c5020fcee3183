#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "core/ids.h"
#include "workflows/model/ids.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// Queries the admission service for the targets that may run a step. Answers are delivered on the
/// controller's loop.
class AdmissionPort
{
public:
    virtual ~AdmissionPort() = default;

    /// The admitted targets of a query, as pairs of target name and ticket.
    using Admitted = std::vector<std::pair<std::string, std::string>>;

    /// Number of instances that can send queries. The service answers the queries of each instance
    /// one at a time.
    virtual std::size_t querierCount() const = 0;

    /// Reserves the time of an instance for one query that the service takes \a expected to
    /// process. Empty if the query would have to wait too long at every instance. Each reservation
    /// must be used by one call of ask().
    virtual std::optional<InstanceId> reserve(Milliseconds expected) = 0;

    /// Sends a query through \a querier, which reserve() has returned.
    virtual void ask(const InstanceId &querier, const StepAddress &step,
                     const std::vector<std::string> &targets, Instant deadline,
                     Done<Admitted> done) = 0;
};

} // namespace guavavalve::workflows
