#include "workflows/controller.h"

#include "workflows/decisionlog.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

namespace {

/// For an answer about admissions: three of the slowest questions that objectives allow for.
constexpr Milliseconds adviceLimit{3000};
/// Before a question that failed is asked again.
constexpr Milliseconds adviceRetryPause{100};
/// What may pass between the making of a ticket and its arrival here.
constexpr Milliseconds ticketAge{100};
/// Room is kept for a step no longer than this: a question about a few targets takes 0.6 s.
constexpr Milliseconds claimLimit{1500};

} // namespace

void Controller::ask(const AdmissionQuery &query)
{
    std::vector<std::string> names;
    double expectedMs = 0.0;
    this->machine.read([&](const WorkflowStore &store) {
        const QueuePolicy *queue = this->queueOf(query.step.workflow, store);
        if (queue != nullptr) {
            expectedMs = queue->queryBaseMs
                + queue->queryMsPerTarget * static_cast<double>(query.targets.size());
        }
        for (const IncarnationId incarnation : query.targets) {
            if (const IncarnationRecord *record = store.find(incarnation))
                names.push_back(record->identity.name);
        }
    });
    std::set<IncarnationId> &asked = this->admissions[query.step].asked;
    if (asked.empty())
        this->claims.erase(query.step); // of an earlier round
    asked.insert(query.targets.begin(), query.targets.end());
    if (!query.claim.empty()) {
        Claim &claim = this->claims[query.step];
        claim.tasks.insert(query.claim.begin(), query.claim.end());
        claim.until = this->options.clock() + claimLimit;
    }
    ++this->openQueries;
    this->admissionPort.ask(
        query.step, names, Milliseconds(static_cast<std::int64_t>(expectedMs)),
        this->options.clock() + adviceLimit,
        [this, alive = this->alive, inTerm = this->term, query,
         now = this->options.clock()](const Result<AdmissionPort::Admitted> &answer) {
            if (*alive && this->leads && this->term == inTerm)
                this->answered(query, now, answer);
        });
}

void Controller::answered(const AdmissionQuery &query, Instant askedAt,
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
        known.nextQueryAt = now + adviceRetryPause;
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
            known.admitted[incarnation] = {ticket->second,
                                           now + Milliseconds(queue->admissionValidMs) - ticketAge};
        }
    });
    logAdmissionAnswered(query.step, query.targets.size(), answer.value().size());
    this->needsPlan = true;
    this->flush();
}

} // namespace guavavalve::workflows
