#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "workflows/command.h"
#include "workflows/commandoutcome.h"
#include "workflows/incarnationend.h"
#include "workflows/losscount.h"
#include "workflows/planner.h"
#include "workflows/policy.h"
#include "workflows/targethealth.h"
#include "workflows/targetstanding.h"
#include "workflows/waittimetracker.h"
#include "workflows/workflow.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavavalve::workflows {

/// One log line for each decision about a workflow and each change of what is believed of a
/// target. A workflow's identity is written as its caller wrote it.

std::string workflowName(WorkflowId id);

/// \a version: of the configuration that it was decided by; \a ageMs: since the workflow was due;
/// \a waited: of the step until now; \a estimatedMs: for each task, by the caller.
void logPlaced(const PlaceRuns &command, const std::string &queue, const std::string &account,
               std::int64_t version, std::int64_t ageMs, const WaitTimes &waited,
               std::uint32_t estimatedMs);
/// It has completed, failed or was cancelled at \a atMs, on the calendar.
void logWorkflowEnded(const Workflow &workflow, std::int64_t atMs);
/// All that is placed of the workflow is being stopped.
void logStoppingRuns(WorkflowId id, std::string_view why, std::size_t tasks);
/// New work may go to the target from now on, or no longer, by what is known of it.
void logTargetUsable(const TargetIdentity &target, bool isUsable, const TargetStanding &standing);
/// What binds at the moment: written at most once a second.
void logPlan(const PlanSummary &summary, std::size_t queries, std::size_t live);
/// The controller's loop runs late, so that orders and answers wait for it.
void logLoopLag(Milliseconds lag);
void logPlacementRejected(const PlaceRuns &command, CommandOutcome outcome);
void logRunsEnded(IncarnationId incarnation, const std::vector<RunEnd> &ends);
/// A run is stopped, to be begun elsewhere, since its target has stalled.
void logRunMoved(IncarnationId incarnation, const TaskAddress &task);
/// Nothing is written where nothing has changed.
void logTargetTrust(IncarnationId incarnation, TargetTrust before, TargetTrust now);
void logAdmissionAnswered(const StepAddress &step, std::size_t asked, std::size_t admitted);
void logAdmissionFailed(const StepAddress &step, const Error &error);
/// An instance that carries orders for \a targets has not answered: they go other ways.
void logAgentUnresponsive(const std::string &agent, std::size_t targets, const Error &error);
void logTargetStarted(const TargetIdentity &target);
/// The target's process is gone. \a lost: how often targets have crashed under each task that was
/// lost with it; \a givenUp: those that nothing is started of any more.
void logCrash(IncarnationId incarnation, const std::map<TaskAddress, LossCount> &lost,
              const std::vector<TaskAddress> &givenUp);
/// A target that runs were lost with answers again.
void logTargetAlive(IncarnationId incarnation);
/// The target's room was \a before until now.
void logTargetResized(const TargetIdentity &target, const Resources &before);
void logTargetEnded(const TargetIdentity &target, IncarnationEnd how);
/// \a runs: under way there, or on their way.
void logDomainEvacuation(const std::string &failureDomain, bool isEvacuated, std::size_t targets,
                         std::size_t runs);
void logConfigurationInForce(std::int64_t version, const Policy &policy);
void logConfigurationUnreadable(std::int64_t version, const Error &error);

} // namespace guavavalve::workflows
