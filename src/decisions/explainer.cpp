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
    const std::string weighed = " out of " + number(explanation.considered) + " weighed";
    switch (explanation.reason) {
    case Reason::Spread:
        return "placed on " + target + weighed
            + ": fewest tasks of its service stand in that failure domain and rack";
    case Reason::Backfill:
        return "placed on " + target
            + ": the room is reserved, and it is expected to be done before the reservation starts";
    case Reason::Probe:
        return "placed on " + target + ": to find out whether a quarantined target works again";
    case Reason::GangComplete:
        return "placed on " + target + ": all " + number(explanation.considered)
            + " tasks of its job had room at once";
    case Reason::None:
        return "placed on " + target + " before this controller took over";
    default:
        return "placed on " + target + weighed + ": it leaves the least unusable room there";
    }
}

std::string waitingText(const Explanation &explanation)
{
    const std::string ahead =
        "; " + number(explanation.ahead) + " tasks of its team and class wait, this one included";
    switch (explanation.reason) {
    case Reason::TeamLimit:
        return "waits: it would take its team over its upper limit; it starts when work of the "
               "team ends or the limit is raised"
            + ahead;
    case Reason::ShareTurn:
        return "waits: its class holds its part of the cell while other classes wait" + ahead;
    case Reason::GangIncomplete:
        return "waits: not all tasks of its job are there to start together" + ahead;
    case Reason::GangReserved:
        return "waits: room is being kept for it, and it starts when what runs there ends" + ahead;
    case Reason::Headroom:
        return "waits: the room that is left is kept for prompt work" + ahead;
    case Reason::NotOnFleet:
        return "waits: no target that is announced now is large enough; it starts when one is"
            + ahead;
    case Reason::NoRoom:
        return "waits: no target has room for it now; it starts when work ends" + ahead;
    default:
        return "waits: it has not been decided about yet" + ahead;
    }
}

std::string pastText(const Explanation &explanation)
{
    switch (explanation.reason) {
    case Reason::DeadlinePassed:
        return "refused: it could not start by its deadline; it has not run";
    default:
        return "over; the last decision about it was "
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
    const bool kept =
        std::any_of(headroomTargets.begin(), headroomTargets.end(), [&](Index holder) {
            return ledger.fleet[holder].availability() == Availability::Normal
                && queue.charge.fitsInto(ledger.fleet[holder].free());
        });
    return kept ? Reason::Headroom : Reason::NoRoom;
}

Explanation explainWaiting(const Ledger &ledger, const TaskRecord &task)
{
    const WorkQueue &queue = ledger.queues[task.queue];
    const TeamRecord &team = ledger.teams[queue.key.team];
    Explanation explanation;
    explanation.state = Explanation::State::Waiting;
    explanation.reason = waitingReason(ledger, queue);
    explanation.considered = queue.considered;
    explanation.ahead = team.waiting[static_cast<std::size_t>(queue.key.workClass)];
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
        explanation.text = "not known here: it was never taken, or ended too long ago";
        return explanation;
    }
    explanation.state = record->kind == DecisionKind::Refuse ? Explanation::State::Refused
                                                             : Explanation::State::Ended;
    explanation.reason = record->reason;
    explanation.target = record->target;
    explanation.considered = record->considered;
    explanation.at = record->at;
    explanation.text = pastText(explanation);
    return explanation;
}

} // namespace guavavalve::internal
