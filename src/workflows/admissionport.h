#pragma once

#include "core/clock.h"
#include "core/done.h"
#include "workflows/ids.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// Asks the admission service which targets may run a step. Answers come on the controller's loop.
class AdmissionPort
{
public:
    virtual ~AdmissionPort() = default;

    /// Names of admitted targets with their tickets, of the \a targets named.
    using Admitted = std::vector<std::pair<std::string, std::string>>;

    /// Instances that may be asked to put a question, each of which has one answered at a time.
    virtual std::size_t querierCount() const = 0;

    /// \a expected: what the service takes for this question once its turn has come.
    virtual void ask(const StepAddress &step, const std::vector<std::string> &targets,
                     Milliseconds expected, Instant deadline, Done<Admitted> done) = 0;
};

} // namespace guavavalve::workflows
