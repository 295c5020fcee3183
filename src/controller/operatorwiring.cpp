#include "controller/operatorwiring.h"

#include "controller/cellcontroller.h"
#include "controller/clusterstatemachine.h"
#include "controller/jobdescription.h"

#include <utility>

namespace guavavalve {

namespace {

std::vector<InstanceConfiguration> instanceConfigurations(const CellController &controller)
{
    std::vector<InstanceConfiguration> instances;
    const Instant now = monotonicNow();
    for (const EntryInfo &entry : controller.entries())
        instances.push_back({entry.instance, entry.configurationVersion, entry.deadAt > now});
    return instances;
}

Result<JobStatus> statusOfAnyTeamsJob(const ClusterStateMachine &state, JobId job)
{
    return state.read([job](const ClusterState &cluster) -> Result<JobStatus> {
        const JobRecord *record = cluster.job(job);
        if (record == nullptr)
            return failure(ErrorCode::NotFound,
                           "there is no such job, or it has been removed after the retention time");
        return describeJob(cluster, *record);
    });
}

} // namespace

OperatorHooks operatorHooks(CellController &controller, ClusterStateMachine &state,
                            ReplicatedLog &log, std::string clusterSecret)
{
    OperatorHooks hooks;
    hooks.readState = [&state](const OperatorHooks::StateReader &reader) { state.read(reader); };
    hooks.propose = [&controller](Command command, Done<CommandValue> done) {
        controller.propose(std::move(command), std::move(done));
    };
    hooks.instances = [&controller] { return instanceConfigurations(controller); };
    hooks.explain = [&controller](TaskId task) { return controller.explain(task); };
    hooks.statistics = [&controller] { return controller.statistics(); };
    hooks.quarantined = [] { return std::vector<std::string>(); };
    hooks.jobStatus = [&state](JobId job) { return statusOfAnyTeamsJob(state, job); };
    hooks.cellTimeMs = [&controller] { return controller.cellTimeMs(); };
    hooks.clusterSecret = std::move(clusterSecret);
    hooks.log = &log;
    return hooks;
}

} // namespace guavavalve
