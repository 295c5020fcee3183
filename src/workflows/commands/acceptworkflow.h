#pragma once

#include "workflows/workflowspec.h"

namespace guavavalve::workflows {

/// Takes on a workflow. The same identity again joins the first.
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
