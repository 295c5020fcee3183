#pragma once

#include "core/workclass.h"
#include "decisions/classpolicy.h"
#include "decisions/quarantinepolicy.h"
#include "decisions/teampolicy.h"

#include <array>
#include <cstddef>
#include <vector>

namespace guavavalve {

/// Everything that operators set about decisions. Applied whole; a team that is missing keeps
/// what it has placed and gets nothing new.
struct Policy
{
    std::vector<TeamPolicy> teams;
    std::array<ClassPolicy, workClassCount> classes = defaultClasses();
    QuarantinePolicy quarantine;
    bool correctSizes = true; ///< learn real sizes from usage, by team and shape

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
        ClassPolicy prompt{false, 0.8, 200000, Milliseconds(200)};
        ClassPolicy service{false, 1.0, 200000, Milliseconds(10000)};
        ClassPolicy batch{true, 1.0, 200000, Milliseconds(60000)};
        ClassPolicy gang{true, 1.0, 200000, Milliseconds(120000)};
        return {prompt, service, batch, gang};
    }
};

} // namespace guavavalve
