#pragma once

#include "workflows/model/ids.h"

#include <cereal/types/vector.hpp>

#include <vector>

namespace guavavalve::workflows {

/// Removes workflows whose retention time has passed and that have nothing placed.
struct ForgetWorkflows
{
    std::vector<WorkflowId> ids;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->ids);
    }
};

} // namespace guavavalve::workflows
