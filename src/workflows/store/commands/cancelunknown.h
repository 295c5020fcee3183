#pragma once

#include "workflows/model/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// Cancels a workflow that is not stored: a request to accept it may still be under way. If it has
/// been stored meanwhile, it is cancelled as by CancelWorkflow.
struct CancelUnknown
{
    WorkflowId id = WorkflowId::None;
    std::string queue;
    std::string account;
    std::int64_t atMs = 0; ///< calendar time; used only for retention

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->queue, this->account, this->atMs);
    }
};

} // namespace guavavalve::workflows
