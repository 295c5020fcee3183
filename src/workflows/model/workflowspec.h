#pragma once

#include "workflows/model/ids.h"
#include "workflows/model/stepspec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// A workflow as submitted by its caller.
struct WorkflowSpec
{
    WorkflowId id = WorkflowId::None;
    std::string queue;
    std::string account; ///< the client account that it counts against
    std::string payload; ///< passed to the targets unchanged
    std::vector<StepSpec> steps;
    std::uint32_t repeats = 0; ///< number of occurrences; 0: one, started immediately
    std::int64_t firstAtMs = 0; ///< calendar time of the first occurrence
    std::int64_t intervalMs = 0; ///< between occurrences
    std::int64_t acceptedAtMs = 0; ///< calendar time of the controller that accepted it

    bool isScheduled() const { return this->repeats > 0; }
    std::uint32_t occurrences() const { return this->isScheduled() ? this->repeats : 1; }
    std::int64_t dueAtMs(std::uint32_t occurrence) const
    {
        return this->isScheduled() ? this->firstAtMs + occurrence * this->intervalMs
                                   : this->acceptedAtMs;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->id, this->queue, this->account, this->payload, this->steps, this->repeats,
                this->firstAtMs, this->intervalMs, this->acceptedAtMs);
    }
};

} // namespace guavavalve::workflows
