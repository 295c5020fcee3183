#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

namespace {

/// Timeout of an admission query: three times the slowest query that objectives allow for.
constexpr Milliseconds admissionQueryTimeout{3000};
/// Delay before a failed query is repeated.
constexpr Milliseconds admissionRetryDelay{100};
/// The most that may pass between the creation of a ticket and its arrival here.
constexpr Milliseconds maxTicketAge{100};
/// Room is claimed for a step no longer than this: a query about a few targets takes 0.6 s.
constexpr Milliseconds claimDuration{1500};

} // namespace

void Controller::sendQuery(const AdmissionQuery &query)
{
    std::vector<std::string> names;
    this->machine.read([&](const WorkflowStore &store) {
        for (const IncarnationId incarnation : query.targets) {
            if (const IncarnationRecord *record = store.find(incarnation))
                names.push_back(record->identity.name);
        }
    });
    std::set<IncarnationId> &asked = this->admissions[query.step].asked;
    if (asked.empty())
        this->claims.erase(query.step); // left from an earlier query
    asked.insert(query.targets.begin(), query.targets.end());
    if (!query.claim.empty()) {
        Claim &claim = this->claims[query.step];
        claim.tasks.insert(query.claim.begin(), query.claim.end());
        claim.until = this->options.clock() + claimDuration;
    }
    ++this->openQueries;
    this->admissionPort.ask(
        query.querier, query.step, names, this->options.clock() + admissionQueryTimeout,
        [this, alive = this->alive, inTerm = this->term, query,
         now = this->options.clock()](const Result<AdmissionPort::Admitted> &answer) {
            if (*alive && this->leads && this->term == inTerm)
                this->queryAnswered(query, now, answer);
        });
}

void Controller::queryAnswered(const AdmissionQuery &query, Instant askedAt,
                               const Result<AdmissionPort::Admitted> &answer)
{
    --this->openQueries;
    const Instant now = this->options.clock();
    this->metrics.admissionAnswered(std::chrono::duration_cast<Milliseconds>(now - askedAt),
                                    answer.has_value());
    const auto found = this->admissions.find(query.step);
    if (found == this->admissions.end())
        return;
    StepAdmissions &known = found->second;
    const bool isExploring = std::none_of(
        query.targets.begin(), query.targets.end(),
        [&known](IncarnationId incarnation) { return known.admitted.count(incarnation) != 0; });
    for (const IncarnationId incarnation : query.targets)
        known.asked.erase(incarnation);
    if (!answer) {
        known.nextQueryAt = now + admissionRetryDelay;
        this->claims.erase(query.step);
        logAdmissionFailed(query.step, answer.error());
        return;
    }
    this->machine.read([&](const WorkflowStore &store) {
        const QueuePolicy *queue = this->queueOf(query.step.workflow, store);
        if (queue == nullptr)
            return;
        const std::map<std::string, std::string> tickets(answer.value().begin(),
                                                         answer.value().end());
        if (isExploring) {
            const std::string &name = store.find(query.step.workflow)->spec.queue;
            this->admittedFractions[name].answered(query.targets.size(), tickets.size());
        }
        for (const IncarnationId incarnation : query.targets) {
            const IncarnationRecord *record = store.find(incarnation);
            const auto ticket =
                record == nullptr ? tickets.end() : tickets.find(record->identity.name);
            if (ticket == tickets.end()) {
                known.refused.insert(incarnation);
                continue;
            }
            known.admitted[incarnation] = {
                ticket->second, now + Milliseconds(queue->admissionValidMs) - maxTicketAge};
        }
    });
    logAdmissionAnswered(query.step, query.targets.size(), answer.value().size());
    this->needsPlan = true;
    this->flush();
}

} // namespace guavavalve::workflows
