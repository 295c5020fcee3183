#pragma once

namespace guavavalve {

class Metrics;
struct MessengerCounters;
struct ReplicaStatus;

/// Shows how a replica stands.
void showReplica(const ReplicaStatus &status, Metrics &into);

/// Shows what an instance has exchanged with the others.
void showMessenger(const MessengerCounters &counters, Metrics &into);

/// Shows how many lines the process's log has dropped.
void showLog(Metrics &into);

} // namespace guavavalve
