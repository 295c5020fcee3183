#pragma once

#include "workflows/model/ids.h"

#include <cstdint>

namespace guavavalve::workflows {

/// Cancels a workflow: none of its tasks is started any more, and those that are placed are to be
/// stopped.
struct CancelWorkflow
{
    WorkflowId id = WorkflowId::None;
    std::int64_t atMs = 0; ///< calendar time; used only for retention

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->atMs);
    }
};

} // namespace guavavalve::workflows
