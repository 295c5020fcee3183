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

void Controller::ask(const AdmissionQuestion &question)
{
    std::vector<std::string> names;
    double expectedMs = 0.0;
    this->machine.read([&](const Book &book) {
        const QueuePolicy *queue = this->queueOf(question.step.workflow, book);
        if (queue != nullptr) {
            expectedMs = queue->adviceMs
                + queue->adviceMsPerTarget * static_cast<double>(question.targets.size());
        }
        for (const LifeNumber life : question.targets) {
            if (const LifeRecord *record = book.find(life))
                names.push_back(record->identity.name);
        }
    });
    std::set<LifeNumber> &asked = this->admissions[question.step].asked;
    if (asked.empty())
        this->claims.erase(question.step); // of an earlier round
    asked.insert(question.targets.begin(), question.targets.end());
    if (!question.claim.empty()) {
        Claim &claim = this->claims[question.step];
        claim.tasks.insert(question.claim.begin(), question.claim.end());
        claim.until = this->options.clock() + claimLimit;
    }
    ++this->openQuestions;
    this->admissionPort.ask(
        question.step, names, Milliseconds(static_cast<std::int64_t>(expectedMs)),
        this->options.clock() + adviceLimit,
        [this, alive = this->alive, inTerm = this->term, question,
         now = this->options.clock()](const Result<AdmissionPort::Admitted> &answer) {
            if (*alive && this->leads && this->term == inTerm)
                this->answered(question, now, answer);
        });
}

void Controller::answered(const AdmissionQuestion &question, Instant askedAt,
                          const Result<AdmissionPort::Admitted> &answer)
{
    --this->openQuestions;
    const Instant now = this->options.clock();
    this->metrics.advised(std::chrono::duration_cast<Milliseconds>(now - askedAt),
                          answer.has_value());
    const auto found = this->admissions.find(question.step);
    if (found == this->admissions.end())
        return;
    StepAdmissions &known = found->second;
    const bool isExploring =
        std::none_of(question.targets.begin(), question.targets.end(),
                     [&known](LifeNumber life) { return known.admitted.count(life) != 0; });
    for (const LifeNumber life : question.targets)
        known.asked.erase(life);
    if (!answer) {
        known.nextQuestionAt = now + adviceRetryPause;
        this->claims.erase(question.step);
        logAdviceFailed(question.step, answer.error());
        return;
    }
    this->machine.read([&](const Book &book) {
        const QueuePolicy *queue = this->queueOf(question.step.workflow, book);
        if (queue == nullptr)
            return;
        const std::map<std::string, std::string> tickets(answer.value().begin(),
                                                         answer.value().end());
        if (isExploring) {
            const std::string &name = book.find(question.step.workflow)->spec.queue;
            this->admittedParts[name].answered(question.targets.size(), tickets.size());
        }
        for (const LifeNumber life : question.targets) {
            const LifeRecord *record = book.find(life);
            const auto ticket =
                record == nullptr ? tickets.end() : tickets.find(record->identity.name);
            if (ticket == tickets.end()) {
                known.refused.insert(life);
                continue;
            }
            known.admitted[life] = {ticket->second,
                                    now + Milliseconds(queue->adviceValidMs) - ticketAge};
        }
    });
    logAdvised(question.step, question.targets.size(), answer.value().size());
    this->needsPlan = true;
    this->flush();
}

} // namespace guavavalve::workflows
