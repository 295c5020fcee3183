#include "decisions/explainer.h"

#include <algorithm>
#include <string>

namespace guavavalve::internal {

namespace {

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

std::string placedText(const Explanation &explanation)
{
    const std::string target = "target " + number(idValue(explanation.target));
    const std::string consideredText = " out of " + number(explanation.considered) + " considered";
    switch (explanation.reason) {
    case Reason::Spread:
        return "placed on " + target + consideredText
            + ": that failure domain and rack run the fewest tasks of its service";
    case Reason::Backfill:
        return "placed on " + target
            + ": the capacity is reserved, and the task is expected to end before the reservation "
              "starts";
    case Reason::Probe:
        return "placed on " + target + ": to test whether the quarantined target works again";
    case Reason::GangComplete:
        return "placed on " + target + ": all " + number(explanation.considered)
            + " tasks of its job could be placed at once";
    case Reason::None:
        return "placed on " + target + " before this controller took over";
    default:
        return "placed on " + target + consideredText
            + ": it leaves the least unusable capacity there";
    }
}

std::string waitingText(const Explanation &explanation)
{
    const std::string queueText = "; " + number(explanation.waitingInClass)
        + " tasks of its team and class wait, including this one";
    switch (explanation.reason) {
    case Reason::TeamLimit:
        return "waits: it would exceed the upper limit of its team; it starts when work of the "
               "team ends or the limit is raised"
            + queueText;
    case Reason::ShareTurn:
        return "waits: its class holds its maximum share while other classes wait" + queueText;
    case Reason::GangIncomplete:
        return "waits: not all tasks of its job are ready to start together" + queueText;
    case Reason::GangReserved:
        return "waits: capacity is reserved for it; it starts when the work running there ends"
            + queueText;
    case Reason::Headroom:
        return "waits: the free capacity is kept for prompt work" + queueText;
    case Reason::NotOnFleet:
        return "waits: no announced target is large enough; it starts when one is" + queueText;
    case Reason::NoRoom:
        return "waits: no target has room for it now; it starts when work ends" + queueText;
    default:
        return "waits: no decision has been made about it yet" + queueText;
    }
}

std::string endedText(const Explanation &explanation)
{
    switch (explanation.reason) {
    case Reason::DeadlinePassed:
        return "refused: it could not start by its deadline; it has not run";
    default:
        return "ended; the last decision about it was "
            + std::string(enumName(reasonNames, explanation.reason));
    }
}

Explanation explainPlaced(const Ledger &ledger, const TaskRecord &task)
{
    Explanation explanation;
    explanation.state = Explanation::State::Placed;
    explanation.reason = task.reason;
    explanation.target = ledger.fleet[task.target].info.id;
    explanation.considered = task.considered;
    explanation.at = task.placedAt;
    explanation.text = placedText(explanation);
    return explanation;
}

Reason waitingReason(const Ledger &ledger, const WorkQueue &queue)
{
    if (queue.key.workClass == WorkClass::Gang && queue.state == QueueState::Idle)
        return Reason::GangIncomplete;
    if (queue.reason != Reason::NoRoom)
        return queue.reason;
    if (ledger.fleet.capacityFor(queue.key.need, 1) == 0)
        return Reason::NotOnFleet;
    const std::vector<Index> &headroomTargets = ledger.fleet.headroomTargets();
    const bool keptAsHeadroom =
        std::any_of(headroomTargets.begin(), headroomTargets.end(), [&](Index target) {
            return ledger.fleet[target].availability() == Availability::Normal
                && queue.charge.fitsInto(ledger.fleet[target].free());
        });
    return keptAsHeadroom ? Reason::Headroom : Reason::NoRoom;
}

Explanation explainWaiting(const Ledger &ledger, const TaskRecord &task)
{
    const WorkQueue &queue = ledger.queues[task.queue];
    const TeamRecord &team = ledger.teams[queue.key.team];
    Explanation explanation;
    explanation.state = Explanation::State::Waiting;
    explanation.reason = waitingReason(ledger, queue);
    explanation.considered = queue.considered;
    explanation.waitingInClass = team.waiting[static_cast<std::size_t>(queue.key.workClass)];
    explanation.at = queue.decidedAt;
    explanation.text = waitingText(explanation);
    return explanation;
}

} // namespace

Explanation explainTask(const Ledger &ledger, const DecisionLog &log, TaskId id)
{
    const Index index = ledger.findTask(id);
    if (index != noIndex) {
        const TaskRecord &task = ledger.tasks[index];
        return task.target != noIndex ? explainPlaced(ledger, task) : explainWaiting(ledger, task);
    }
    Explanation explanation;
    const DecisionRecord *record = log.find(id);
    if (record == nullptr) {
        explanation.text = "unknown task: it was never accepted, or ended too long ago";
        return explanation;
    }
    explanation.state = record->kind == DecisionKind::Refuse ? Explanation::State::Refused
                                                             : Explanation::State::Ended;
    explanation.reason = record->reason;
    explanation.target = record->target;
    explanation.considered = record->considered;
    explanation.at = record->at;
    explanation.text = endedText(explanation);
    return explanation;
}

} // namespace guavavalve::internal
