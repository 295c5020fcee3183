#pragma once

#include "core/ids.h"

namespace guavavalve {

class Metrics;
struct MessengerCounters;
struct ReplicaStatus;

/// Sets the metrics of a replica's term, log positions and role.
void exportReplicaMetrics(const ReplicaStatus &status, Metrics &into);

/// Sets the metrics of the membership of \a self, according to \a status.
void exportMembershipMetrics(const ReplicaStatus &status, const InstanceId &self, Metrics &into);

/// Sets the metrics of the traffic between this instance and the others.
void exportMessengerMetrics(const MessengerCounters &counters, Metrics &into);

/// Sets the metric of the lines that the process's log has dropped.
void exportLogMetrics(Metrics &into);

} // namespace guavavalve
