#include "state/jobrecord.h"

#include <algorithm>

namespace guavavalve {

const TaskEnd *JobRecord::end(TaskId task) const
{
    const auto found =
        std::lower_bound(this->ends.begin(), this->ends.end(), task,
                         [](const TaskEnd &end, TaskId wanted) { return end.task < wanted; });
    return found != this->ends.end() && found->task == task ? &*found : nullptr;
}

} // namespace guavavalve
