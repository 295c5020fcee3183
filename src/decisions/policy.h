#pragma once

#include "core/workclass.h"
#include "decisions/classpolicy.h"
#include "decisions/quarantinepolicy.h"
#include "decisions/teampolicy.h"

#include <array>
#include <cstddef>
#include <vector>

namespace guavavalve {

/// All operator settings of the scheduler. A policy replaces the previous one completely: a team
/// that it does not list keeps its placed tasks and gets no new ones.
struct Policy
{
    std::vector<TeamPolicy> teams;
    std::array<ClassPolicy, workClassCount> classes = defaultClasses();
    QuarantinePolicy quarantine;
    bool correctSizes = true; ///< learn actual sizes from usage, by team and shape

    ClassPolicy &of(WorkClass workClass)
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }
    const ClassPolicy &of(WorkClass workClass) const
    {
        return this->classes[static_cast<std::size_t>(workClass)];
    }

    static std::array<ClassPolicy, workClassCount> defaultClasses()
    {
        // preemptible, maxShare, maxWaiting, preemptionDelay
        ClassPolicy prompt{false, 0.8, 200000, Milliseconds(200)};
        ClassPolicy service{false, 1.0, 200000, Milliseconds(10000)};
        ClassPolicy batch{true, 1.0, 200000, Milliseconds(60000)};
        ClassPolicy gang{true, 1.0, 200000, Milliseconds(120000)};
        return {prompt, service, batch, gang};
    }
};

} // namespace guavavalve
