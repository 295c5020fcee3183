#pragma once

#include "workflows/model/ids.h"
#include "workflows/model/losscount.h"

#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>

#include <map>
#include <vector>

namespace guavavalve::workflows {

/// Distinguishes tasks that crash their targets from tasks whose targets crash for other reasons.
/// Part of the replicated state: pure, and kept across changes of controller.
///
/// Each target that is lost with a run counts for the run's task, first as an open loss and then,
/// once its process is known to have ended, as a crash. A crash soon after the start is evidence
/// against the task; a crash in the middle of a run may have any cause and weighs less. A task that
/// has crashed too many targets is given up, and a task whose open losses could make up that number
/// is not started until they are resolved. If several tasks had just started on a crashed target,
/// those with the most earlier crashes of this kind are blamed.
class TargetLossTracker
{
public:
    /// Number of crashes soon after the start after which a task is given up.
    static constexpr unsigned maxEarlyCrashes = 3;
    /// Number of crashes of any kind after which a task is given up.
    static constexpr unsigned maxCrashes = 5;

    /// A run of \a task was lost with an incarnation of its target. An incarnation counts once for
    /// each task.
    void recordLoss(IncarnationId incarnation, const TaskAddress &task, bool isEarly);
    /// The process of \a incarnation has crashed. Returns the tasks that are to be given up now.
    std::vector<TaskAddress> recordCrash(IncarnationId incarnation);
    /// The process of \a incarnation is still running, or has ended as planned; its losses do not
    /// count.
    void discardLosses(IncarnationId incarnation);

    /// The task has succeeded, or has proved that targets can run it.
    void forget(const TaskAddress &task);
    void forget(WorkflowId workflow);

    /// True if tasks were lost with \a incarnation and it is not known yet whether it crashed.
    bool hasOpenLosses(IncarnationId incarnation) const
    {
        return this->openLosses.count(incarnation) != 0;
    }
    /// The tasks that were lost with \a incarnation, until it is known whether it crashed.
    std::vector<TaskAddress> lostWith(IncarnationId incarnation) const;
    LossCount count(const TaskAddress &task) const;
    /// False if the task would have to be given up should all its open losses turn out to be
    /// crashes.
    bool mayStart(const TaskAddress &task) const;
    /// True if a target was lost soon after it had started the task.
    bool isSuspect(const TaskAddress &task) const;
    bool isEmpty() const { return this->counts.empty(); }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->counts, this->openLosses);
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

    std::vector<Loss> removeOpenLosses(IncarnationId incarnation);

    std::map<TaskAddress, LossCount> counts;
    std::map<IncarnationId, std::vector<Loss>> openLosses; ///< by the lost incarnation
};

} // namespace guavavalve::workflows
