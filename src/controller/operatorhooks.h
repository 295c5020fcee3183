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

/// What the OperatorService needs from the controller that it is part of. All are set and may be
/// called from any thread. Only \a propose may block.
struct OperatorHooks
{
    using StateReader = std::function<void(const ClusterState &)>;

    /// Calls the reader under a shared lock on the applied state.
    std::function<void(const StateReader &reader)> readState;

    /// Proposes a command and passes on its outcome once it is applied.
    std::function<void(Command command, Done<CommandValue> done)> propose;

    /// The instances that send heartbeats to the controller, with the configuration each holds.
    std::function<std::vector<InstanceConfiguration>()> instances;

    std::function<Explanation(TaskId task)> explain;
    std::function<Statistics()> statistics;

    /// Names of the targets that the scheduler has quarantined.
    std::function<std::vector<std::string>()> quarantined;

    /// The status of a job of any team. \errors NotFound.
    std::function<Result<JobStatus>(JobId job)> jobStatus;

    /// This process's cell time in ms, recorded in the configuration's history.
    std::function<std::int64_t()> cellTimeMs;

    /// The cluster's own secret, from which the tokens of keys are derived.
    std::string clusterSecret;

    /// The replica group's log, for its members and its leader lease.
    ReplicatedLog *log = nullptr;
};

} // namespace guavavalve
