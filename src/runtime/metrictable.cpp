#include "runtime/metrictable.h"

#include "core/enumnames.h"

namespace guavavalve {

namespace {

constexpr EnumNames<MetricType, 3> metricTypeNames{{
    {MetricType::Counter, "counter"},
    {MetricType::Gauge, "gauge"},
    {MetricType::Histogram, "histogram"},
}};

constexpr std::array<MetricDescription, metricCount> table{{
    {Metric::WaitingSeconds, "guavavalve_waiting_seconds", MetricType::Histogram, "seconds",
     "team,class",
     "Time from acceptance of a job to its first start, observed once the job has ended."},
    {Metric::WorkflowSeconds, "guavavalve_workflow_seconds", MetricType::Histogram, "seconds",
     "team,class",
     "Time from acceptance of a workflow, or from when its last occurrence was due, until it "
     "completed. The class is its queue. Reported by the controller."},
    {Metric::WorkflowsTotal, "guavavalve_workflows_total", MetricType::Counter, "workflows",
     "state",
     "Workflows that have ended, by state: completed, failed, cancelled. Reported by the "
     "controller."},
    {Metric::RunsTotal, "guavavalve_runs_total", MetricType::Counter, "runs", "outcome",
     "Runs of tasks that have ended, by outcome. Reported by the controller."},
    {Metric::TargetCrashesTotal, "guavavalve_target_crashes_total", MetricType::Counter, "targets",
     "",
     "Targets whose process ended without deregistering while work was placed on them. Reported "
     "by the controller."},
    {Metric::TargetDepartureSeconds, "guavavalve_target_departure_seconds", MetricType::Histogram,
     "seconds", "evidence",
     "Time from a target's announcement of its end until nothing can run there any more, by "
     "evidence: nothing-placed, other-life, lease-expired. Reported by the controller."},
    {Metric::CommitSeconds, "guavavalve_commit_seconds", MetricType::Histogram, "seconds", "",
     "Time from the proposal of a batch of commands until a quorum has stored it and it has been "
     "applied. Reported by the controller."},
    {Metric::AdmissionSeconds, "guavavalve_admission_seconds", MetricType::Histogram, "seconds",
     "outcome",
     "Time until a query to the admission service was answered or failed, by outcome: answered, "
     "failed. Reported by the controller."},
    {Metric::RequestSeconds, "guavavalve_request_seconds", MetricType::Histogram, "seconds",
     "outcome",
     "Time from receipt of a request at this instance until its response, by outcome: answered, "
     "refused (not run), unknown."},
    {Metric::RequestsTotal, "guavavalve_requests_total", MetricType::Counter, "requests", "outcome",
     "Callers' requests at this entry by outcome: accepted or joined on receipt; answered, refused "
     "(not run), failed (ran) or unknown on response."},
    {Metric::RequestsOpen, "guavavalve_requests_open", MetricType::Gauge, "requests", "",
     "Requests received by this instance and not yet answered."},
    {Metric::TasksWaiting, "guavavalve_tasks_waiting", MetricType::Gauge, "tasks", "team",
     "Accepted tasks that are not placed. Reported by the controller, 0 elsewhere."},
    {Metric::TasksPlaced, "guavavalve_tasks_placed", MetricType::Gauge, "tasks", "team",
     "Placed tasks that are not known to have ended. Reported by the controller, 0 elsewhere."},
    {Metric::PackingRatio, "guavavalve_packing_ratio", MetricType::Gauge, "ratio", "",
     "Dominant share of the ready targets' resources that placed tasks use, 0 to 1. Reported by "
     "the controller, 0 elsewhere."},
    {Metric::ShareDistanceRatio, "guavavalve_share_distance_ratio", MetricType::Gauge, "ratio",
     "team",
     "How far a team with waiting work is below its fair share of the cell, 0 (at or above it) to "
     "1. Reported by the controller, 0 elsewhere."},
    {Metric::TeamShareRatio, "guavavalve_team_share_ratio", MetricType::Gauge, "ratio", "team",
     "Dominant share of the cell that the team's placed tasks use, 0 to 1. Reported by the "
     "controller, 0 elsewhere."},
    {Metric::ControlCpuSeconds, "guavavalve_control_cpu_seconds_total", MetricType::Counter,
     "seconds", "", "Processor time that this process has used, user and system."},
    {Metric::ControlMemoryBytes, "guavavalve_control_memory_bytes", MetricType::Gauge, "bytes", "",
     "Resident memory of this process."},
    {Metric::ControlSentBytes, "guavavalve_control_sent_bytes_total", MetricType::Counter, "bytes",
     "", "Bytes sent to other instances."},
    {Metric::ControlReceivedBytes, "guavavalve_control_received_bytes_total", MetricType::Counter,
     "bytes", "", "Bytes received from other instances."},
    {Metric::Targets, "guavavalve_targets", MetricType::Gauge, "targets", "state",
     "Targets by state: ready, draining, evacuated, departing, lost; and quarantined, which are "
     "also counted as ready. Reported by the controller, 0 elsewhere."},
    {Metric::ReplicaRoleInfo, "guavavalve_replica_role", MetricType::Gauge, "", "role",
     "1 for the current role of this replica, 0 for the others."},
    {Metric::ReplicaTerm, "guavavalve_replica_term", MetricType::Gauge, "", "",
     "Current term of the replica's group; it increases with each election."},
    {Metric::ReplicaCommittedIndex, "guavavalve_replica_committed_index", MetricType::Gauge, "", "",
     "Newest log entry that this replica knows to be committed."},
    {Metric::ReplicaAppliedIndex, "guavavalve_replica_applied_index", MetricType::Gauge, "", "",
     "Newest log entry that this replica has applied."},
    {Metric::ConfigurationVersion, "guavavalve_configuration_version", MetricType::Gauge, "", "",
     "Version of the configuration document that this instance uses."},
    {Metric::EvacuatedDomains, "guavavalve_evacuated_domains", MetricType::Gauge, "domains", "",
     "Failure domains that an operator has evacuated: their targets get no new work."},
    {Metric::SharedTargets, "guavavalve_shared_targets", MetricType::Gauge, "targets", "",
     "Targets whose orders other instances forward for the controller; 0 elsewhere."},
    {Metric::Ready, "guavavalve_ready", MetricType::Gauge, "", "",
     "1 while /readyz reports ready, 0 otherwise."},
    {Metric::FramesRejectedTotal, "guavavalve_frames_rejected_total", MetricType::Counter, "frames",
     "",
     "Received frames that were not authentic, of another cell or protocol, malformed or too "
     "long."},
    {Metric::LogLinesDroppedTotal, "guavavalve_log_lines_dropped_total", MetricType::Counter,
     "lines", "", "Log lines dropped because the queue was full."},
    {Metric::SeriesDroppedTotal, "guavavalve_series_dropped_total", MetricType::Counter,
     "observations", "",
     "Observations counted under the label \"other\" because their metric had reached its limit of "
     "series."},
    {Metric::DescriptorBudget, "guavavalve_descriptor_budget", MetricType::Gauge, "descriptors",
     "use", "Maximum number of file descriptors by use."},
    {Metric::Connections, "guavavalve_connections", MetricType::Gauge, "connections", "use",
     "Open connections by use: callers (accepted), targets, admissions."},
    {Metric::ConnectionsOpenedTotal, "guavavalve_connections_opened_total", MetricType::Counter,
     "connections", "use", "Connections opened by use: targets, admissions."},
    {Metric::CallsWaiting, "guavavalve_calls_waiting", MetricType::Gauge, "calls", "use",
     "Calls waiting for a connection by use: targets, admissions."},
    {Metric::CallsRefusedTotal, "guavavalve_calls_refused_total", MetricType::Counter, "calls",
     "use", "Calls and connections refused because the budget of their use was exhausted."},
    {Metric::ConnectionsReclaimedTotal, "guavavalve_connections_reclaimed_total",
     MetricType::Counter, "connections", "reason",
     "Connections without a complete request that were closed to make room for others, by what was "
     "short: connections, memory."},
    {Metric::LoopLagSeconds, "guavavalve_loop_lag_seconds", MetricType::Gauge, "seconds", "",
     "Delay with which the controller's loop ran its most recent periodic action."},
    {Metric::IntakeRefusedTotal, "guavavalve_intake_refused_total", MetricType::Counter, "requests",
     "account,queue,cause",
     "Requests refused under overload, by cause: beyond-share, too-late, store-full, evacuated, "
     "repeat. "
     "Reported by the controller."},
    {Metric::ExpectedWaitSeconds, "guavavalve_expected_wait_seconds", MetricType::Gauge, "seconds",
     "queue",
     "Time until the work that waits in the queue will have been started, at the current rate; 0 "
     "unless it waits for room or queries. Reported by the controller."},
    {Metric::HeldCalls, "guavavalve_held_calls", MetricType::Gauge, "calls", "",
     "Callers' requests that this entry holds until a controller is in contact."},
    {Metric::HeldCallsTotal, "guavavalve_held_calls_total", MetricType::Counter, "calls", "outcome",
     "Callers' requests that arrived at this entry without a controller, by outcome: handed-in, "
     "expired (given up before the caller's deadline), rejected (not held)."},
    {Metric::CallsUnansweredTotal, "guavavalve_calls_unanswered_total", MetricType::Counter,
     "calls", "ran",
     "Forwarded requests that no controller answered by their deadline, by whether they may have "
     "run: no (503), unknown (504)."},
    {Metric::CallsRepeatedTotal, "guavavalve_calls_repeated_total", MetricType::Counter, "calls",
     "", "Attempts to send a request to a controller after an earlier one that may have arrived."},
    {Metric::AccountDueRatio, "guavavalve_account_due_ratio", MetricType::Gauge, "ratio",
     "team,class",
     "Dominant share, 0 to 1, that a client account is due of what work of this class and of more "
     "urgent ones competes for; 1 while it may have all that it wants. Reported by the controller, "
     "absent elsewhere and for accounts without work."},
    {Metric::AccountPlacedRatio, "guavavalve_account_placed_ratio", MetricType::Gauge, "ratio",
     "team,class",
     "Dominant share of the same that the account's placed tasks have. Reported by the controller, "
     "absent elsewhere and for accounts without work."},
    {Metric::AccountTasksPlaced, "guavavalve_account_tasks_placed", MetricType::Gauge, "tasks",
     "team,class",
     "Placed tasks by client account and class. Reported by the controller, absent elsewhere and "
     "for accounts without work."},
    {Metric::AccountTasksWaiting, "guavavalve_account_tasks_waiting", MetricType::Gauge, "tasks",
     "team,class",
     "Ready tasks without a place by client account and class. Reported by the controller, absent "
     "elsewhere and for accounts without work."},
    {Metric::TargetsBySpeed, "guavavalve_targets_by_speed", MetricType::Gauge, "targets", "speed",
     "Targets by their learned speed, relative to the others: fast, usual (or not known yet), "
     "slow. "
     "Reported by the controller."},
    {Metric::RunsMovedTotal, "guavavalve_runs_moved_total", MetricType::Counter, "runs", "",
     "Runs stopped in order to be restarted on another target, because theirs had stalled. "
     "Reported "
     "by the controller."},
    {Metric::ReplicaMembershipInfo, "guavavalve_replica_membership", MetricType::Gauge, "",
     "membership",
     "1 for what this replica is to its group, 0 for the rest: unformed (in no group), learner, "
     "voter, removed."},
    {Metric::ReplicaVoters, "guavavalve_replica_voters", MetricType::Gauge, "replicas", "",
     "Voters of the group that this replica knows of; 0 while it is in none."},
    {Metric::CallsUnroutedTotal, "guavavalve_calls_unrouted_total", MetricType::Counter, "calls",
     "cause",
     "Callers' requests that the configuration in force does not allow, by cause: "
     "no-configuration, no-route, no-key. Reported by the controller."},
    {Metric::CallsOutdatedTotal, "guavavalve_calls_outdated_total", MetricType::Counter, "calls",
     "cause",
     "Calls that were not acted on since they may be older than what has been acknowledged, by "
     "cause: waited (unread, for longer than callers wait), cancelled (its job), superseded (an "
     "order, or a cancel by a later request for its job). The last two are reported by the "
     "controller."},
    {Metric::TargetReportsRefusedTotal, "guavavalve_target_reports_refused_total",
     MetricType::Counter, "reports", "",
     "Reports of targets that were refused since they cannot be read or cannot be true. Reported "
     "by "
     "the controller."},
    {Metric::TargetClaimsRefusedTotal, "guavavalve_target_claims_refused_total",
     MetricType::Counter, "reports", "",
     "Reports that claimed a later start of a target for which no process answered. Reported by "
     "the controller."},
    {Metric::RequestBytes, "guavavalve_request_bytes", MetricType::Gauge, "bytes", "",
     "Memory that requests in progress have been granted, of callers, targets, operators and other "
     "instances together."},
    {Metric::RequestBytesRefusedTotal, "guavavalve_request_bytes_refused_total",
     MetricType::Counter, "requests", "",
     "Requests refused since those in progress took too much memory."},
    {Metric::ExceptionsTotal, "guavavalve_exceptions_total", MetricType::Counter, "exceptions",
     "where",
     "Exceptions that were caught after they had left a handler, by where: loop, messenger. Each "
     "is "
     "a defect; the call that it concerned was answered with an error."},
}};

constexpr bool inOrder()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].metric) != i)
            return false;
    }
    return true;
}
static_assert(inOrder(), "rows must be in the order of Metric");

} // namespace

const std::array<MetricDescription, metricCount> &metricTable()
{
    return table;
}

const MetricDescription &describe(Metric metric)
{
    return table[static_cast<std::size_t>(metric)];
}

std::string metricsReference()
{
    std::string page =
        "| name | type | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const MetricDescription &row : table) {
        page.append("| `").append(row.name).append("` | ");
        page.append(enumName(metricTypeNames, row.type)).append(" | ");
        page.append(row.unit).append(" | ").append(row.labels).append(" | ");
        page.append(row.doc).append(" |\n");
    }
    return page;
}

} // namespace guavavalve
