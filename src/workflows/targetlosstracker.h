#pragma once

#include "workflows/ids.h"
#include "workflows/losscount.h"

#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <vector>

namespace guavavalve::workflows {

/// Tells tasks that crash their targets from tasks whose targets crash. Part of the replicated
/// state: pure, and holds across controllers.
///
/// Each target that is lost with a run counts for the task, first as an open loss and then as a
/// crash once its process is known to be gone. A crash soon after the start speaks against the
/// task; one in the middle of a run may have any reason and weighs less. A task that has crashed
/// too many targets is to be given up, and one that may have is not started before that is known.
/// If several tasks had just begun on a target, those with the most such crashes before are blamed.
class TargetLossTracker
{
public:
    /// Crashes soon after the start that a task is given up for.
    static constexpr unsigned mostEarlyCrashes = 3;
    /// Crashes of any kind that a task is given up for.
    static constexpr unsigned mostCrashes = 5;

    /// A run of \a task was lost with the target's life. A life counts once for each task.
    void lost(IncarnationId incarnation, const TaskAddress &task, bool isEarly);
    /// The process of \a life is gone. Returns the tasks that are to be given up now.
    std::vector<TaskAddress> crashed(IncarnationId incarnation);
    /// The process of \a life goes on, or has ended as planned: its losses count for nothing.
    void survived(IncarnationId incarnation);

    /// The task has succeeded, or has shown that its targets can run it.
    void forget(const TaskAddress &task);
    void forget(WorkflowId workflow);

    /// True if it is not known yet whether \a life has crashed with something on it.
    bool hasOpen(IncarnationId incarnation) const { return this->open.count(incarnation) != 0; }
    /// The tasks that were lost with \a life, as long as that is not known.
    std::vector<TaskAddress> lostWith(IncarnationId incarnation) const;
    LossCount count(const TaskAddress &task) const;
    /// False while targets that may have crashed would make too many of them.
    bool mayStart(const TaskAddress &task) const;
    /// A target was lost soon after it had begun the task.
    bool isSuspect(const TaskAddress &task) const;
    bool isEmpty() const { return this->counts.empty(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->counts, this->open);
    }

private:
    struct Loss
    {
        TaskAddress task;
        bool isEarly = false;

        template<typename Archive>
        void serialize(Archive &archive)
        {
            archive(this->task, this->isEarly);
        }
    };

    std::vector<Loss> close(IncarnationId incarnation);

    std::map<TaskAddress, LossCount> counts;
    std::map<IncarnationId, std::vector<Loss>> open; ///< by the life that was lost
};

} // namespace guavavalve::workflows
