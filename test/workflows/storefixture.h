#pragma once

#include "workflows/store/workflowstore.h"

#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// A workflow store with targets "t1", "t2" ... and helpers that apply each of its commands in one
/// line.
class StoreFixture
{
public:
    static constexpr WorkflowId job = static_cast<WorkflowId>(7);

    explicit StoreFixture(unsigned targets = 3)
    {
        for (unsigned i = 1; i <= targets; ++i)
            this->registerIncarnation("t" + std::to_string(i), 1);
    }

    static StepSpec step(std::uint16_t tasks, std::vector<std::uint16_t> dependencies = {})
    {
        StepSpec spec;
        spec.tasks = tasks;
        spec.need[ResourceKind::MilliCores] = 1000;
        spec.dependencies = std::move(dependencies);
        return spec;
    }

    static StepSpec gang(std::uint16_t tasks)
    {
        StepSpec spec = step(tasks);
        spec.gang = true;
        return spec;
    }

    CommandOutcome accept(std::vector<StepSpec> steps)
    {
        WorkflowSpec spec;
        spec.id = job;
        spec.queue = "q";
        spec.account = "a";
        spec.payload = "work";
        spec.steps = std::move(steps);
        return this->apply(AcceptWorkflow{spec});
    }

    CommandOutcome registerIncarnation(const std::string &name, std::int64_t processStartMs)
    {
        TargetIdentity identity;
        identity.name = name;
        identity.startedAtMs = processStartMs;
        identity.service = "s";
        identity.rack = "r0-1";
        identity.capacity[ResourceKind::MilliCores] = 4000;
        return this->apply(RegisterIncarnation{identity});
    }

    static IncarnationId incarnation(unsigned number) { return static_cast<IncarnationId>(number); }
    static StepAddress at(std::uint16_t step) { return {job, 0, step}; }

    /// Places task i of the step on the incarnation at position i of the list.
    CommandOutcome place(std::uint16_t step, RunNumber run,
                         const std::vector<unsigned> &incarnations)
    {
        PlaceRuns command{at(step), run, {}};
        for (std::size_t i = 0; i < incarnations.size(); ++i)
            command.placements.push_back(
                {static_cast<std::uint16_t>(i), incarnation(incarnations[i])});
        return this->apply(command);
    }

    CommandOutcome end(std::uint16_t step, std::uint16_t index, RunNumber run, RunOutcome outcome,
                       std::uint16_t maxFailures = 2, const std::string &checkpoint = {})
    {
        return this->apply(
            EndRuns{{{{at(step), index}, run, outcome, checkpoint, maxFailures}}, 5});
    }

    CommandOutcome apply(Command command)
    {
        return this->store.apply({std::move(command)}).front();
    }

    const Workflow &workflow() const { return *this->store.find(job); }
    const TaskProgress &task(std::uint16_t step, std::uint16_t index) const
    {
        return *this->workflow().task({at(step), index});
    }

    WorkflowStore store;
};

} // namespace guavavalve::workflows
