#pragma once

#include "decisions/scheduler.h"

#include <iosfwd>
#include <string>

namespace guavavalve {

/// Passes every call on to a scheduler and writes it, with the decisions, as a trace: JSON lines
/// that replayTrace() can run again. The scheduler must be new, so that the trace holds all that
/// it was told. Both outlive the recorder.
class TraceRecorder : public Scheduler
{
public:
    /// \a name is that of the scheduler's kind: "fair" or "first-fit".
    TraceRecorder(Scheduler &inner, std::ostream &stream, const std::string &name);

    /// States an outcome that the trace, replayed, must show; see ReplayOutcome.
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
