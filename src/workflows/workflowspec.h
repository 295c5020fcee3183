#pragma once

#include "workflows/ids.h"
#include "workflows/stepspec.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve::workflows {

/// A workflow as its caller handed it in.
struct WorkflowSpec
{
    WorkflowId id = WorkflowId::None;
    std::string queue;
    std::string account; ///< the client account that it counts against
    std::string payload; ///< for the targets, passed on as it came
    std::vector<StepSpec> steps;
    std::uint32_t repeats = 0; ///< occurrences; 0: one, at once
    std::int64_t firstAtMs = 0; ///< calendar time of the first occurrence
    std::int64_t intervalMs = 0; ///< between occurrences
    std::int64_t acceptedAtMs = 0; ///< calendar time at the controller that took it

    bool isTimed() const { return this->repeats > 0; }
    std::uint32_t occurrences() const { return this->isTimed() ? this->repeats : 1; }
    std::int64_t dueAtMs(std::uint32_t occurrence) const
    {
        return this->isTimed() ? this->firstAtMs + occurrence * this->intervalMs
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
