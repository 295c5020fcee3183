#pragma once

#include "workflows/ids.h"

#include <cereal/types/vector.hpp>

#include <vector>

namespace guavavalve::workflows {

/// Workflows that ended long ago and have nothing placed.
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
