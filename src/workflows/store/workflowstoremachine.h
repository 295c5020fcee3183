#pragma once

#include "core/clock.h"
#include "replicas/statemachine.h"
#include "workflows/store/recenttimes.h"
#include "workflows/store/workflowstore.h"

#include <mutex>
#include <string>
#include <utility>

namespace guavavalve::workflows {

/// Applies the replicated log to the workflow store. May be read from any thread.
class WorkflowStoreMachine : public StateMachine
{
public:
    explicit WorkflowStoreMachine(Clock clock = monotonicNow);

    std::string apply(LogIndex index, const std::string &command) override;
    std::string takeSnapshot() override;
    Result<void> restoreSnapshot(const std::string &snapshot) override;

    /// Calls \a reader with the store, which does not change during the call.
    template<typename Reader>
    auto read(Reader &&reader) const
    {
        const std::lock_guard lock(this->mutex);
        return std::forward<Reader>(reader)(this->store);
    }

    /// The latest time at which this replica may have applied the placement of the run.
    Instant placedAt(const StepAddress &step, RunNumber run) const;
    /// The latest time at which this replica may have applied a cancel of the workflow, which was
    /// not stored.
    Instant cancelledAt(const UnknownCancels::Key &key) const;
    /// The latest time at which this replica may have applied an evacuation of the failure domain,
    /// or the end of one.
    Instant domainChangedAt(const std::string &failureDomain) const;
    /// The latest time at which this replica may have applied a registration of the target.
    Instant registeredAt(const std::string &target) const;

private:
    Clock clock;
    mutable std::mutex mutex;
    WorkflowStore store;
    mutable std::mutex recentMutex; ///< may be locked while the store is read
    RecentTimes<std::pair<StepAddress, RunNumber>> placements;
    RecentTimes<std::string> registrations;
    RecentTimes<UnknownCancels::Key> cancels;
    RecentTimes<std::string> domainChanges;
};

} // namespace guavavalve::workflows
