#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <memory>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// Acknowledged once it is stored, as the draining of a single target is. From then on no placement
/// there is accepted, whichever controller has decided it.
void Controller::evacuate(const std::string &failureDomain, bool isEvacuated,
                          const CallStamp &stamp, const Done<CommandOutcome> &done)
{
    if (this->leads && this->undoesLaterChange(failureDomain, isEvacuated, stamp)) {
        Error error = failure(ErrorCode::Conflict, "the order may be older than the one in effect");
        error.ran = Ran::No;
        done(error);
        return;
    }
    const Instant requestedAt = this->options.clock();
    this->domainRequests[failureDomain] = {isEvacuated, requestedAt};
    this->enqueue(EvacuateDomain{failureDomain, isEvacuated},
                  [this, failureDomain, isEvacuated, requestedAt,
                   done](const Result<CommandOutcome> &outcome) {
                      if (outcome && this->leads)
                          this->domainChanged(failureDomain, isEvacuated, outcome.value());
                      // From here on the state machine knows when it was changed.
                      const auto request = this->domainRequests.find(failureDomain);
                      if (outcome && request != this->domainRequests.end()
                          && request->second.second == requestedAt)
                          this->domainRequests.erase(request);
                      done(outcome);
                  });
}

/// Guards against an order that was held up on its way, and would be carried out after the one that
/// has followed it. A domain's state has no version that would tell.
bool Controller::undoesLaterChange(const std::string &failureDomain, bool isEvacuated,
                                   const CallStamp &stamp) const
{
    const bool isStored = this->machine.read([&](const WorkflowStore &store) {
        return store.evacuatedDomains().count(failureDomain) != 0;
    });
    const auto requested = this->domainRequests.find(failureDomain);
    const bool isRequested = requested != this->domainRequests.end();
    const bool state = isRequested ? requested->second.first : isStored;
    if (state == isEvacuated && isStored == isEvacuated)
        return false;
    Instant changedAt = this->machine.domainChangedAt(failureDomain);
    if (isRequested)
        changedAt = std::max(changedAt, requested->second.second);
    return !this->isSentAfter(stamp, changedAt);
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
