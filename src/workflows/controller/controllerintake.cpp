#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <utility>

// Which requests are accepted.

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds intakeReportInterval{1000};
/// Lines in this time for single refusals; all of them are in the report that follows.
constexpr std::size_t maxRefusalLines = 20;

} // namespace

IntakeDecision Controller::decideIntake(const WorkflowSpec &spec, const CallStamp &stamp)
{
    if (!this->options.mechanisms.has(Mechanism::Intake) || !this->leads)
        return {};
    const auto [isStored, live] = this->machine.read([&](const WorkflowStore &store) {
        return std::pair(store.find(spec.id) != nullptr, store.live().size());
    });
    if (isStored)
        return {};
    const IntakeDecision decision =
        this->intake.decide(spec, stamp, this->currentPolicy, live, this->options.clock(),
                            this->isFullyEvacuated(spec.queue));
    if (decision.verdict == IntakeVerdict::Refuse)
        this->metrics.refused(spec, decision.cause);
    if (decision.verdict != IntakeVerdict::Accept && this->refusalLines < maxRefusalLines) {
        ++this->refusalLines;
        logIntakeRefusal(spec, decision);
    }
    return decision;
}

std::vector<const WorkflowSpec *> Controller::acceptedIn(const std::vector<Pending> &batch)
{
    std::vector<const WorkflowSpec *> found;
    for (const Pending &one : batch) {
        if (const auto *accept = std::get_if<AcceptWorkflow>(&one.command))
            found.push_back(&accept->spec);
    }
    return found;
}

/// Counts the live workflows of each account if there are so many that it matters.
void Controller::countLive(Instant now)
{
    std::map<std::string, std::size_t> byAccount;
    this->machine.read([&](const WorkflowStore &store) {
        if (!this->intake.isNearlyFull(store.live().size()))
            return;
        for (const WorkflowId id : store.live()) {
            if (const Workflow *workflow = store.find(id))
                ++byAccount[workflow->spec.account];
        }
    });
    this->intake.liveCounted(byAccount, now);
}

void Controller::reportIntake()
{
    const Instant now = this->options.clock();
    if (now < this->nextIntakeReport)
        return;
    this->nextIntakeReport = now + intakeReportInterval;
    this->refusalLines = 0;
    this->countLive(now);
    for (const auto &[queue, policy] : this->currentPolicy.queues)
        this->metrics.expectedWait(queue, this->intake.expectedWait(queue, now));
    logIntakeReport(this->intake.takeReport());
}

} // namespace guavavalve::workflows
