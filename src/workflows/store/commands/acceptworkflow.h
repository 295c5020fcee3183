#pragma once

#include "workflows/model/workflowspec.h"

namespace guavavalve::workflows {

/// Accepts a workflow. A repetition with the same identity joins the existing one.
struct AcceptWorkflow
{
    WorkflowSpec spec;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->spec);
    }
};

} // namespace guavavalve::workflows
