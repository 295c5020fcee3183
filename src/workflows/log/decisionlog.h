#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "workflows/health/targethealth.h"
#include "workflows/health/targetspeeds.h"
#include "workflows/intake/intakereport.h"
#include "workflows/model/departureend.h"
#include "workflows/model/incarnationend.h"
#include "workflows/model/losscount.h"
#include "workflows/model/policy.h"
#include "workflows/model/targetstanding.h"
#include "workflows/model/workflow.h"
#include "workflows/planning/planner.h"
#include "workflows/planning/waittimetracker.h"
#include "workflows/shares/accountstanding.h"
#include "workflows/store/command.h"
#include "workflows/store/commandoutcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavavalve::workflows {

/// One log line for each decision about a workflow and each change in the assessment of a target.
/// A workflow's identity is written as its caller wrote it.

std::string workflowName(WorkflowId id);

/// \a version: of the configuration in force; \a ageMs: time since the workflow was due;
/// \a waited: waiting time of the step so far; \a estimatedMs: the caller's estimate for each task.
void logPlaced(const PlaceRuns &command, const std::string &queue, const std::string &account,
               std::int64_t version, std::int64_t ageMs, const WaitTimes &waited,
               std::uint32_t estimatedMs);
/// The workflow completed, failed or was cancelled at \a atMs, in calendar time.
void logWorkflowEnded(const Workflow &workflow, std::int64_t atMs);
/// All placed tasks of the workflow are being stopped.
void logStoppingRuns(WorkflowId id, std::string_view why, std::size_t tasks);
/// The target has become usable for new work, or unusable. \a standing: the conditions that decided
/// it.
void logTargetUsable(const TargetIdentity &target, bool isUsable, const TargetStanding &standing);
/// The state of the latest plan; written at most once a second.
void logPlan(const PlanSummary &summary, std::size_t queries, std::size_t live,
             std::size_t resting);
/// The client accounts that are most beyond their share, by queue; written at most once a second,
/// and nothing if \a beyond is empty.
void logBeyondShare(const std::vector<AccountStanding> &beyond);
/// The controller's loop is behind schedule, which delays orders and answers.
void logLoopLag(Milliseconds lag);
void logPlacementRejected(const PlaceRuns &command, CommandOutcome outcome);
void logRunsEnded(IncarnationId incarnation, const std::vector<RunEnd> &ends);
/// A run is stopped so that it can be restarted elsewhere, because its target has stalled.
void logRunMoved(IncarnationId incarnation, const TaskAddress &task);
/// The target's trust has changed; writes nothing if \a before equals \a now.
void logTargetTrust(IncarnationId incarnation, TargetTrust before, TargetTrust now);
/// Targets are now faster or slower than most, or no longer; writes nothing if there are none.
void logSpeedGrades(const std::vector<TargetSpeeds::GradeChange> &changes);
void logAdmissionAnswered(const StepAddress &step, std::size_t asked, std::size_t admitted);
void logAdmissionFailed(const StepAddress &step, const Error &error);
/// An instance that carries orders for \a targets targets has not answered; their orders are sent
/// another way.
void logAgentUnresponsive(const std::string &agent, std::size_t targets, const Error &error);
void logTargetStarted(const TargetIdentity &target);
/// The target's process has ended. \a lost: the tasks that ran on it, with the number of targets
/// that have crashed under each; \a givenUp: the tasks that are not started again.
void logCrash(IncarnationId incarnation, const std::map<TaskAddress, LossCount> &lost,
              const std::vector<TaskAddress> &givenUp);
/// A target whose runs had been counted as lost answers again.
void logTargetAlive(IncarnationId incarnation);
/// \a before: the target's capacity until now.
void logTargetResized(const TargetIdentity &target, const Resources &before);
void logTargetEnded(const TargetIdentity &target, IncarnationEnd how);
/// A target's announcement of its end concerns no known incarnation. \a startedAtMs: the one that
/// it names; 0: none.
void logAnnouncementIgnored(const std::string &target, std::int64_t startedAtMs);
/// A report claims a later start of \a known, and no process answers for it.
void logClaimRefused(const TargetIdentity &known, const TargetIdentity &claimed);
/// Runs of an incarnation that is over wait for a list of its successor: their starts may have
/// reached it.
void logRunsUnsettled(const TargetIdentity &target, std::size_t runs);
/// The leases on a silent target have expired. \a runs of its runs are not started elsewhere yet,
/// for \a atMost longer: nobody has answered their starts, and a later incarnation may carry them
/// out.
void logRunsInDoubt(const TargetIdentity &target, std::size_t runs, Milliseconds atMost);
/// Nothing runs any more on a target that announced its end \a took ago.
void logTargetGone(const TargetIdentity &target, DepartureEnd how, Milliseconds took);
/// \a runs: number of runs on these targets or on their way there.
void logDomainEvacuation(const std::string &failureDomain, bool isEvacuated, std::size_t targets,
                         std::size_t runs);
/// A request was not accepted. Written for a bounded number of requests a second.
void logIntakeRefusal(const WorkflowSpec &spec, const IntakeDecision &decision);
/// All refusals of about a second, by queue, account and cause; nothing if there were none.
void logIntakeReport(const IntakeReport &report);
/// \a document: its digest tells documents of one version apart.
void logConfigurationInForce(std::int64_t version, const std::string &document,
                             const Policy &policy);
/// Short checksum of a document's text, for comparison between log lines.
std::string documentDigest(const std::string &document);
void logConfigurationUnreadable(std::int64_t version, const Error &error);

} // namespace guavavalve::workflows
