#pragma once

#include "workflows/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// Nothing more of the workflow is started; what is placed is to be stopped.
struct CancelWorkflow
{
    WorkflowId id = WorkflowId::None;
    std::int64_t atMs = 0; ///< calendar time, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->atMs);
    }
};

} // namespace guavavalve::workflows
