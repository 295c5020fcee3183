#pragma once

#include "core/ids.h"

#include <cstdint>
#include <tuple>

namespace guavavalve::workflows {

/// Identity of a workflow, chosen by its caller.
enum class WorkflowId : std::uint64_t { None = 0 };

/// One incarnation of a target, that is, one lifetime of its process. Numbered in the order in
/// which incarnations were registered.
enum class IncarnationId : std::uint32_t { None = 0 };

/// Counts the starts of a task from 1. All members of a gang share the number.
using RunNumber = std::uint32_t;

/// One step of one occurrence of a workflow.
struct StepAddress
{
    WorkflowId workflow = WorkflowId::None;
    std::uint32_t occurrence = 0;
    std::uint16_t step = 0;

    friend bool operator<(const StepAddress &a, const StepAddress &b)
    {
        return std::tie(a.workflow, a.occurrence, a.step)
            < std::tie(b.workflow, b.occurrence, b.step);
    }
    friend bool operator==(const StepAddress &a, const StepAddress &b)
    {
        return std::tie(a.workflow, a.occurrence, a.step)
            == std::tie(b.workflow, b.occurrence, b.step);
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->workflow, this->occurrence, this->step);
    }
};

/// One task of a step.
struct TaskAddress
{
    StepAddress step;
    std::uint16_t index = 0;

    friend bool operator<(const TaskAddress &a, const TaskAddress &b)
    {
        return std::tie(a.step, a.index) < std::tie(b.step, b.index);
    }
    friend bool operator==(const TaskAddress &a, const TaskAddress &b)
    {
        return a.step == b.step && a.index == b.index;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->step, this->index);
    }
};

} // namespace guavavalve::workflows
