#include "state/jobrecord.h"

#include <algorithm>

namespace guavavalve {

const FinishedAttempt *JobRecord::end(TaskId task) const
{
    const auto found = std::lower_bound(
        this->ends.begin(), this->ends.end(), task,
        [](const FinishedAttempt &end, TaskId wanted) { return end.task < wanted; });
    return found != this->ends.end() && found->task == task ? &*found : nullptr;
}

} // namespace guavavalve
