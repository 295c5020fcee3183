#pragma once

#include "controller/configurationrequests.h"
#include "controller/jobstatus.h"
#include "core/done.h"
#include "core/ids.h"
#include "decisions/explanation.h"
#include "decisions/statistics.h"
#include "state/command.h"
#include "state/commandoutcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace guavavalve {

class ClusterState;
class ReplicatedLog;

/// What the OperatorService needs of the controller that it is part of. All are set, may be
/// called from any thread, and but for \a propose do not block.
struct OperatorHooks
{
    using StateReader = std::function<void(const ClusterState &)>;

    /// Calls the reader with the applied state held still.
    std::function<void(const StateReader &reader)> readState;

    /// Proposes a command and hands over its outcome once it is applied.
    std::function<void(Command command, Done<CommandValue> done)> propose;

    /// The instances that the controller hears from, and the configuration that each holds.
    std::function<std::vector<InstanceConfiguration>()> instances;

    std::function<Explanation(TaskId task)> explain;
    std::function<Statistics()> statistics;

    /// Names of the targets that the scheduler has in quarantine.
    std::function<std::vector<std::string>()> quarantined;

    /// Where a job stands, whatever its team. \errors NotFound.
    std::function<Result<JobStatus>(JobId job)> jobStatus;

    /// This process's cell time in ms, for the history.
    std::function<std::int64_t()> cellTimeMs;

    /// The cluster's own secret, from which the tokens of keys are derived.
    std::string clusterSecret;

    /// The group's log, for its members and its lease.
    ReplicatedLog *log = nullptr;
};

} // namespace guavavalve
