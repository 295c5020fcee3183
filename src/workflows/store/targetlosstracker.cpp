#include "workflows/store/targetlosstracker.h"

#include <algorithm>
#include <iterator>

namespace guavavalve::workflows {

void TargetLossTracker::recordLoss(IncarnationId incarnation, const TaskAddress &task, bool isEarly)
{
    std::vector<Loss> &losses = this->openLosses[incarnation];
    LossCount &count = this->counts[task];
    const auto known = std::find_if(losses.begin(), losses.end(),
                                    [&](const Loss &loss) { return loss.task == task; });
    const bool wasEarly = known != losses.end() && known->isEarly;
    count.earlyOpenLosses += isEarly && !wasEarly ? 1 : 0;
    if (known != losses.end()) {
        known->isEarly |= isEarly;
        return;
    }
    ++count.openLosses;
    losses.push_back({task, isEarly});
}

/// Removes the open losses of an incarnation from the counts of their tasks and returns them. Tasks
/// that were forgotten in the meantime are left out.
std::vector<TargetLossTracker::Loss> TargetLossTracker::removeOpenLosses(IncarnationId incarnation)
{
    std::vector<Loss> closed;
    const auto found = this->openLosses.find(incarnation);
    if (found == this->openLosses.end())
        return closed;
    for (const Loss &loss : found->second) {
        const auto count = this->counts.find(loss.task);
        if (count == this->counts.end())
            continue;
        --count->second.openLosses;
        count->second.earlyOpenLosses -= loss.isEarly ? 1 : 0;
        closed.push_back(loss);
    }
    this->openLosses.erase(found);
    return closed;
}

std::vector<TaskAddress> TargetLossTracker::recordCrash(IncarnationId incarnation)
{
    const std::vector<Loss> losses = this->removeOpenLosses(incarnation);
    std::uint16_t mostBefore = 0;
    for (const Loss &loss : losses) {
        if (loss.isEarly)
            mostBefore = std::max(mostBefore, this->counts[loss.task].earlyCrashes);
    }
    std::vector<TaskAddress> givenUp;
    for (const Loss &loss : losses) {
        LossCount &count = this->counts[loss.task];
        ++count.crashes;
        count.earlyCrashes += loss.isEarly && count.earlyCrashes == mostBefore ? 1 : 0;
        if (count.crashes >= maxCrashes || count.earlyCrashes >= maxEarlyCrashes)
            givenUp.push_back(loss.task);
    }
    return givenUp;
}

void TargetLossTracker::discardLosses(IncarnationId incarnation)
{
    for (const Loss &loss : this->removeOpenLosses(incarnation)) {
        const auto count = this->counts.find(loss.task);
        if (count->second.openLosses == 0 && count->second.crashes == 0)
            this->counts.erase(count);
    }
}

void TargetLossTracker::forget(const TaskAddress &task)
{
    if (this->counts.erase(task) == 0)
        return;
    for (auto incarnation = this->openLosses.begin(); incarnation != this->openLosses.end();) {
        std::vector<Loss> &losses = incarnation->second;
        losses.erase(std::remove_if(losses.begin(), losses.end(),
                                    [&](const Loss &loss) { return loss.task == task; }),
                     losses.end());
        incarnation = losses.empty() ? this->openLosses.erase(incarnation) : std::next(incarnation);
    }
}

void TargetLossTracker::forget(WorkflowId workflow)
{
    for (auto count = this->counts.lower_bound({{workflow, 0, 0}, 0});
         count != this->counts.end() && count->first.step.workflow == workflow;
         count = this->counts.lower_bound({{workflow, 0, 0}, 0}))
        this->forget(TaskAddress(count->first));
}

std::vector<TaskAddress> TargetLossTracker::lostWith(IncarnationId incarnation) const
{
    std::vector<TaskAddress> tasks;
    const auto found = this->openLosses.find(incarnation);
    if (found == this->openLosses.end())
        return tasks;
    for (const Loss &loss : found->second)
        tasks.push_back(loss.task);
    return tasks;
}

LossCount TargetLossTracker::count(const TaskAddress &task) const
{
    const auto found = this->counts.find(task);
    return found == this->counts.end() ? LossCount{} : found->second;
}

bool TargetLossTracker::mayStart(const TaskAddress &task) const
{
    const LossCount count = this->count(task);
    return count.crashes + count.openLosses < static_cast<int>(maxCrashes)
        && count.earlyCrashes + count.earlyOpenLosses < static_cast<int>(maxEarlyCrashes);
}

bool TargetLossTracker::isSuspect(const TaskAddress &task) const
{
    const LossCount count = this->count(task);
    return count.earlyCrashes + count.earlyOpenLosses > 0;
}

} // namespace guavavalve::workflows
