#include "controller/instancemetrics.h"

#include "replicas/membershipmonitor.h"
#include "replicas/messengercounters.h"
#include "replicas/replicatedlog.h"
#include "runtime/descriptorbudget.h"
#include "runtime/logging.h"
#include "runtime/metrics.h"

#include <algorithm>
#include <string>

namespace guavavalve {

void exportReplicaMetrics(const ReplicaStatus &status, Metrics &into)
{
    into.set(Metric::ReplicaTerm, static_cast<double>(status.term));
    into.set(Metric::ReplicaCommittedIndex, static_cast<double>(status.committed));
    into.set(Metric::ReplicaAppliedIndex, static_cast<double>(status.applied));
    for (const auto &[role, name] : replicaRoleNames)
        into.set(Metric::ReplicaRoleInfo, status.role == role ? 1.0 : 0.0, {std::string(name)});
}

void exportMembershipMetrics(const ReplicaStatus &status, const InstanceId &self, Metrics &into)
{
    const ReplicaMembership own = membershipOf(status, self);
    for (const auto &[membership, name] : replicaMembershipNames)
        into.set(Metric::ReplicaMembershipInfo, own == membership ? 1.0 : 0.0, {std::string(name)});
    const auto voters = std::count_if(status.members.begin(), status.members.end(),
                                      [](const auto &member) { return member.voter; });
    into.set(Metric::ReplicaVoters, static_cast<double>(voters));
}

void exportMessengerMetrics(const MessengerCounters &counters, Metrics &into)
{
    into.raiseCounterTo(Metric::ControlSentBytes, static_cast<double>(counters.bytesSent));
    into.raiseCounterTo(Metric::ControlReceivedBytes, static_cast<double>(counters.bytesReceived));
    into.raiseCounterTo(Metric::FramesRejectedTotal,
                        static_cast<double>(counters.badHandshakes + counters.unauthenticatedFrames
                                            + counters.oversizedFrames + counters.malformedFrames));
    into.raiseCounterTo(Metric::CallsRefusedTotal,
                        static_cast<double>(counters.connectionsRefused + counters.acceptFailures),
                        {std::string(enumName(descriptorUseNames, DescriptorUse::Peers))});
}

void exportLogMetrics(Metrics &into)
{
    into.raiseCounterTo(Metric::LogLinesDroppedTotal, static_cast<double>(Logging::droppedLines()));
}

} // namespace guavavalve
