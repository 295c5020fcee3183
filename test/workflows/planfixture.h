#pragma once

#include "workflows/planning/planner.h"
#include "workflows/storefixture.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace guavavalve::workflows {

/// Makes plans on a store whose workflow is in queue "q". All targets are open except those in
/// \a closed.
class PlanFixture : public StoreFixture
{
public:
    explicit PlanFixture(unsigned targets = 3)
        : StoreFixture(targets)
    {
        QueuePolicy queue;
        queue.service = "s";
        this->policy.queues["q"] = queue;
    }

    Plan plan()
    {
        std::vector<OpenTarget> open;
        for (const auto &[incarnation, record] : this->store.incarnations()) {
            if (this->closed.count(incarnation) == 0)
                open.push_back(
                    {incarnation, &record.identity, record.identity.capacity - record.used,
                     this->onProbation.count(incarnation) != 0, this->cold.count(incarnation) != 0,
                     record.placed.size(), this->slow.count(incarnation) != 0 ? logOfSlow : 0.0});
        }
        PlanInput input{this->store,
                        this->policy,
                        this->admissions,
                        this->claims,
                        open,
                        this->now,
                        this->calendarMs,
                        this->admittedFractions,
                        this->querierCount,
                        this->openQueries,
                        this->reserveQuerier,
                        this->scope};
        input.accountUse = this->accountUse;
        return makePlan(input);
    }

    /// Makes a plan and applies its placements; returns the number of tasks placed.
    std::size_t applyPlan()
    {
        std::size_t placed = 0;
        for (const PlaceRuns &command : this->plan().placements) {
            REQUIRE(this->apply(command) == CommandOutcome::Applied);
            placed += command.placements.size();
        }
        return placed;
    }

    /// Accepts a workflow of one step in addition to the fixture's own.
    void add(unsigned id, const std::string &queue, const StepSpec &spec,
             const std::string &account = "a")
    {
        WorkflowSpec workflow;
        workflow.id = static_cast<WorkflowId>(id);
        workflow.queue = queue;
        workflow.account = account;
        workflow.steps = {spec};
        this->apply(AcceptWorkflow{workflow});
    }

    void needAdmission()
    {
        this->policy.queues["q"].needsAdmission = true;
        this->policy.queues["q"].queryBaseMs = 500;
        this->policy.queues["q"].admissionValidMs = 1500;
    }

    void admit(unsigned number, Milliseconds validFor)
    {
        this->admissions[at(0)].admitted[incarnation(number)] = {"ticket", this->now + validFor};
    }

    PlanScope scope = PlanScope::All;
    Policy policy;
    AdmissionTable admissions;
    ClaimTable claims;
    std::set<IncarnationId> closed;
    std::set<IncarnationId> onProbation;
    std::set<IncarnationId> cold;
    std::set<IncarnationId> slow;
    static constexpr double logOfSlow = 0.7; ///< tasks take twice as long there
    std::int64_t calendarMs = 1000;
    const AdmittedFractions *admittedFractions = nullptr;
    std::size_t querierCount = 1;
    std::size_t openQueries = 0;
    QuerierReservation reserveQuerier;
    const AccountUse *accountUse = nullptr;
    Instant now{std::chrono::seconds(100)};
};

} // namespace guavavalve::workflows
