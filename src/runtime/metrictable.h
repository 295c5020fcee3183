#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace guavavalve {

/// The metrics that an instance exposes on /metrics. Names and base units follow the conventions of
/// Prometheus.
enum class Metric : std::uint8_t {
    WaitingSeconds,
    WorkflowSeconds,
    WorkflowsTotal,
    RunsTotal,
    TargetCrashesTotal,
    TargetDepartureSeconds,
    CommitSeconds,
    AdmissionSeconds,
    RequestSeconds,
    RequestsTotal,
    RequestsOpen,
    TasksWaiting,
    TasksPlaced,
    PackingRatio,
    ShareDistanceRatio,
    TeamShareRatio,
    ControlCpuSeconds,
    ControlMemoryBytes,
    ControlSentBytes,
    ControlReceivedBytes,
    Targets,
    ReplicaRoleInfo,
    ReplicaTerm,
    ReplicaCommittedIndex,
    ReplicaAppliedIndex,
    ConfigurationVersion,
    EvacuatedDomains,
    SharedTargets,
    Ready,
    FramesRejectedTotal,
    LogLinesDroppedTotal,
    SeriesDroppedTotal,
    DescriptorBudget,
    Connections,
    ConnectionsOpenedTotal,
    CallsWaiting,
    CallsRefusedTotal,
    ConnectionsReclaimedTotal,
    LoopLagSeconds,
    IntakeRefusedTotal,
    ExpectedWaitSeconds,
    HeldCalls,
    HeldCallsTotal,
    CallsUnansweredTotal,
    CallsRepeatedTotal,
    AccountDueRatio,
    AccountPlacedRatio,
    AccountTasksPlaced,
    AccountTasksWaiting,
    TargetsBySpeed,
    RunsMovedTotal,
    ReplicaMembershipInfo,
    ReplicaVoters,
    CallsUnroutedTotal,
    CallsOutdatedTotal,
    TargetReportsRefusedTotal,
    TargetClaimsRefusedTotal,
    RequestBytes,
    RequestBytesRefusedTotal,
    ExceptionsTotal,
};

inline constexpr std::size_t metricCount = 60;

enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

/// One row of the table from which the metrics are registered and the operators' page is generated.
struct MetricDescription
{
    Metric metric;
    std::string_view name;
    MetricType type;
    std::string_view unit;
    std::string_view labels; ///< label names, separated by commas
    std::string_view doc;
};

/// All metrics, in the order of Metric.
const std::array<MetricDescription, metricCount> &metricTable();

/// The row of \a metric.
const MetricDescription &describe(Metric metric);

/// The table in Markdown, as in docs/operators/metrics.md (printed by `guavavalve help metrics`).
std::string metricsReference();

} // namespace guavavalve
