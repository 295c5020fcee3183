#pragma once

#include "workflows/queries/admissionport.h"
#include "workflows/queries/admissionquerybalancer.h"
#include "workflows/virtualloop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// An admission service that processes the queries of each instance one at a time, reached through
/// the balancer that the product uses. It admits two targets in three.
class SlowAdmissionService : public AdmissionPort
{
public:
    /// \a queryCost: time of the controller's loop that each query takes.
    SlowAdmissionService(VirtualLoop &loop, unsigned instances, Microseconds queryCost)
        : loop(loop)
        , queryCost(queryCost)
    {
        for (unsigned i = 0; i < instances; ++i) {
            this->instances.push_back("i" + std::to_string(i));
            this->balancer.trust(this->instances.back());
        }
    }

    std::size_t querierCount() const override { return this->instances.size(); }

    std::optional<InstanceId> reserve(Milliseconds expected) override
    {
        this->expected = expected;
        return this->balancer.choose(this->instances, expected, this->loop.now());
    }

    void ask(const InstanceId &querier, const StepAddress &step,
             const std::vector<std::string> &targets, Instant, Done<Admitted> done) override
    {
        ++this->queries;
        this->loop.spend(this->queryCost);
        Admitted admitted;
        for (const std::string &name : targets) {
            if (std::hash<std::string>()(name + std::to_string(idValue(step.workflow))) % 3 != 0)
                admitted.emplace_back(name, "ticket");
        }
        Instant &idleAt = this->idleAt[querier];
        idleAt = std::max(idleAt, this->loop.now()) + this->expected;
        this->loop.runAfter(idleAt - this->loop.now(),
                            [this, querier, admitted, done = std::move(done)] {
                                this->balancer.answered(querier, false, this->loop.now());
                                done(admitted);
                            });
    }

    std::size_t queries = 0; ///< number of queries sent

private:
    VirtualLoop &loop;
    Microseconds queryCost;
    std::vector<InstanceId> instances;
    AdmissionQueryBalancer balancer;
    Milliseconds expected{0}; ///< of the last reservation
    std::map<InstanceId, Instant> idleAt;
};

} // namespace guavavalve::workflows
