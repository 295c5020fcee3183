#include "workflows/targetlosstracker.h"

#include <algorithm>
#include <iterator>

namespace guavavalve::workflows {

void TargetLossTracker::lost(IncarnationId incarnation, const TaskAddress &task, bool isEarly)
{
    std::vector<Loss> &losses = this->open[incarnation];
    LossCount &count = this->counts[task];
    const auto known = std::find_if(losses.begin(), losses.end(),
                                    [&](const Loss &loss) { return loss.task == task; });
    const bool wasEarly = known != losses.end() && known->isEarly;
    count.earlyOpen += isEarly && !wasEarly ? 1 : 0;
    if (known != losses.end()) {
        known->isEarly |= isEarly;
        return;
    }
    ++count.open;
    losses.push_back({task, isEarly});
}

/// Takes the open losses of a life from the counts of their tasks. Tasks that were forgotten
/// meanwhile are left out.
std::vector<TargetLossTracker::Loss> TargetLossTracker::close(IncarnationId incarnation)
{
    std::vector<Loss> closed;
    const auto found = this->open.find(incarnation);
    if (found == this->open.end())
        return closed;
    for (const Loss &loss : found->second) {
        const auto count = this->counts.find(loss.task);
        if (count == this->counts.end())
            continue;
        --count->second.open;
        count->second.earlyOpen -= loss.isEarly ? 1 : 0;
        closed.push_back(loss);
    }
    this->open.erase(found);
    return closed;
}

std::vector<TaskAddress> TargetLossTracker::crashed(IncarnationId incarnation)
{
    const std::vector<Loss> losses = this->close(incarnation);
    std::uint16_t mostBefore = 0;
    for (const Loss &loss : losses) {
        if (loss.isEarly)
            mostBefore = std::max(mostBefore, this->counts[loss.task].earlyCrashes);
    }
    std::vector<TaskAddress> hopeless;
    for (const Loss &loss : losses) {
        LossCount &count = this->counts[loss.task];
        ++count.crashes;
        count.earlyCrashes += loss.isEarly && count.earlyCrashes == mostBefore ? 1 : 0;
        if (count.crashes >= mostCrashes || count.earlyCrashes >= mostEarlyCrashes)
            hopeless.push_back(loss.task);
    }
    return hopeless;
}

void TargetLossTracker::survived(IncarnationId incarnation)
{
    for (const Loss &loss : this->close(incarnation)) {
        const auto count = this->counts.find(loss.task);
        if (count->second.open == 0 && count->second.crashes == 0)
            this->counts.erase(count);
    }
}

void TargetLossTracker::forget(const TaskAddress &task)
{
    if (this->counts.erase(task) == 0)
        return;
    for (auto incarnation = this->open.begin(); incarnation != this->open.end();) {
        std::vector<Loss> &losses = incarnation->second;
        losses.erase(std::remove_if(losses.begin(), losses.end(),
                                    [&](const Loss &loss) { return loss.task == task; }),
                     losses.end());
        incarnation = losses.empty() ? this->open.erase(incarnation) : std::next(incarnation);
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
    const auto found = this->open.find(incarnation);
    if (found == this->open.end())
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
    return count.crashes + count.open < static_cast<int>(mostCrashes)
        && count.earlyCrashes + count.earlyOpen < static_cast<int>(mostEarlyCrashes);
}

bool TargetLossTracker::isSuspect(const TaskAddress &task) const
{
    const LossCount count = this->count(task);
    return count.earlyCrashes + count.earlyOpen > 0;
}

} // namespace guavavalve::workflows
