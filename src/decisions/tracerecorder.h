#pragma once

#include "decisions/scheduler.h"

#include <iosfwd>
#include <string>

namespace guavavalve {

/// Forwards every call to a scheduler and writes it, with the decisions, as a trace: JSON lines
/// that replayTrace() can replay. The scheduler must be new, so that the trace holds every call
/// made to it. The scheduler and the stream must outlive the recorder.
class TraceRecorder : public Scheduler
{
public:
    /// \a name is the kind of the scheduler: "fair" or "first-fit".
    TraceRecorder(Scheduler &inner, std::ostream &stream, const std::string &name);

    /// Records an outcome that a replay of the trace must reach; see ReplayOutcome.
    void expectAtMost(const std::string &measure, double value);
    void expectAtLeast(const std::string &measure, double value);

    void applyPolicy(const Policy &policy, Instant now) override;
    void targetChanged(const TargetInfo &target, Instant now) override;
    void targetLost(TargetId target, Instant now) override;
    Result<void> submit(const TaskRequest &task, Instant now) override;
    void restorePlaced(const TaskRequest &task, const Resources &charge, TargetId target,
                       Instant now) override;
    void taskEnded(TaskId task, AttemptOutcome end, Instant now) override;
    void requeue(TaskId task, AttemptOutcome end, Instant now) override;
    void placementRejected(TaskId task, Instant now) override;
    bool cancel(TaskId task, Instant now) override;
    void usageReported(TaskId task, const Resources &used, Instant at) override;
    void decide(Instant now, std::vector<Decision> &out) override;
    Instant nextWakeup() const override;
    Explanation explain(TaskId task) const override;
    Statistics statistics() const override;

private:
    Scheduler &scheduler;
    std::ostream &stream;
};

} // namespace guavavalve
