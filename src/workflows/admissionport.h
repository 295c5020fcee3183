#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "workflows/ids.h"

#include <cstddef>
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

    /// \a expected: how long the service takes to process this query once it starts on it.
    virtual void ask(const StepAddress &step, const std::vector<std::string> &targets,
                     Milliseconds expected, Instant deadline, Done<Admitted> done) = 0;
};

} // namespace guavavalve::workflows
