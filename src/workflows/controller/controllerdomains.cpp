#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <memory>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// Acknowledged once it is stored, as the draining of a single target is. From then on no placement
/// there is accepted, whichever controller has decided it.
void Controller::evacuate(const std::string &failureDomain, bool isEvacuated,
                          Done<CommandOutcome> done)
{
    this->enqueue(EvacuateDomain{failureDomain, isEvacuated},
                  [this, failureDomain, isEvacuated,
                   done = std::move(done)](const Result<CommandOutcome> &outcome) {
                      if (outcome && this->leads)
                          this->domainChanged(failureDomain, isEvacuated, outcome.value());
                      done(outcome);
                  });
}

void Controller::domainChanged(const std::string &failureDomain, bool isEvacuated,
                               CommandOutcome outcome)
{
    std::size_t targetsThere = 0;
    std::size_t runsThere = 0;
    for (const auto &[incarnation, state] : this->incarnations) {
        if (state.session->identity().failureDomain != failureDomain)
            continue;
        state.session->setEvacuated(isEvacuated);
        ++targetsThere;
        runsThere += state.session->orders();
    }
    if (outcome == CommandOutcome::Applied)
        logDomainEvacuation(failureDomain, isEvacuated, targetsThere, runsThere);
}

bool Controller::isFullyEvacuated(const std::string &queue) const
{
    const QueuePolicy *policy = this->currentPolicy.queue(queue);
    if (policy == nullptr)
        return false;
    return this->machine.read([&](const WorkflowStore &store) {
        if (store.evacuatedDomains().empty())
            return false;
        std::size_t evacuated = 0;
        for (const auto &[incarnation, record] : store.incarnations()) {
            if (record.identity.service != policy->service)
                continue;
            if (store.evacuatedDomains().count(record.identity.failureDomain) == 0)
                return false;
            ++evacuated;
        }
        return evacuated > 0;
    });
}

} // namespace guavavalve::workflows
