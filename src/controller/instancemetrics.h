#pragma once

namespace guavavalve {

class Metrics;
struct MessengerCounters;
struct ReplicaStatus;

/// Shows how a replica stands.
void exportReplicaMetrics(const ReplicaStatus &status, Metrics &into);

/// Shows what an instance has exchanged with the others.
void exportMessengerMetrics(const MessengerCounters &counters, Metrics &into);

/// Shows how many lines the process's log has dropped.
void exportLogMetrics(Metrics &into);

} // namespace guavavalve
