#include "workflows/controller/controller.h"

#include "workflows/log/decisionlog.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

namespace {

/// Failure limit of a task whose queue no longer exists: it must never count as failed.
constexpr std::uint16_t unlimitedFailures = 1000;
/// Targets that are known at once. Each takes about 2 KB in every replica, whoever has named it;
/// the largest fleets have 34,000.
constexpr std::size_t maxIncarnations = 50'000;

/// Delay before ends of runs that the log refused are stored again.
constexpr Milliseconds storeRetryDelay{100};

} // namespace

TargetSession &Controller::openSession(IncarnationId incarnation, const IncarnationRecord &record)
{
    TargetSession::Hooks hooks;
    hooks.runsOver = [this, incarnation](std::vector<RunEnd> ends) {
        this->runsOver(incarnation, std::move(ends));
    };
    hooks.listed = [this, incarnation](const std::vector<RunningTask> &running) {
        this->runsListed(incarnation, running);
    };
    hooks.usableChanged = [this] {
        this->needsPlan = true;
        this->flush();
    };
    hooks.restChanged = [this, incarnation](bool rests) {
        if (rests)
            this->rested(incarnation);
        else
            this->woken(incarnation);
    };
    hooks.incarnationOver = [this, incarnation](IncarnationEnd how) {
        this->incarnationOver(incarnation, how);
    };
    hooks.settled = [this](IncarnationId placedOn) { this->runSettled(placedOn); };
    hooks.nextFence = [this] { return this->fences.next(); };
    hooks.runAfter = this->options.runAfter;
    hooks.isCurrent = [this] { return this->isCurrent(); };
    hooks.loopLag = [this] { return this->lag; };
    auto session =
        std::make_shared<TargetSession>(incarnation, record.identity, this->options.session,
                                        this->targets, std::move(hooks), this->options.clock);
    this->machine.read([&](const WorkflowStore &store) {
        for (const TaskAddress &task : record.placed) {
            const Workflow *workflow = store.find(task.step.workflow);
            const TaskProgress *progress = workflow == nullptr ? nullptr : workflow->task(task);
            if (progress == nullptr)
                continue;
            const StepSpec &step = workflow->spec.steps[task.step.step];
            const Instant keptUntil =
                step.longRunning ? Instant{} : this->keptUntil(task, progress->run);
            session->adopt(task, progress->run, keptUntil);
        }
    });
    this->incarnations[incarnation].session = session;
    this->addToSpeeds(incarnation, record.identity);
    this->polled[incarnation] = session;
    session->recordHeartbeat(!record.isDraining);
    session->setEvacuated(this->machine.read([&](const WorkflowStore &store) {
        return store.evacuatedDomains().count(record.identity.failureDomain) != 0;
    }));
    for (const TaskAddress &task : record.placed) {
        const bool isOver = this->machine.read([&](const WorkflowStore &store) {
            const Workflow *workflow = store.find(task.step.workflow);
            return workflow == nullptr || workflow->isOver();
        });
        if (isOver)
            session->stop(task);
    }
    if (this->mayHoldEarlierLease(record.identity.name))
        session->expectEarlierLease();
    this->inheritUnsettled(*session);
    return *session;
}

void Controller::runsOver(IncarnationId incarnation, std::vector<RunEnd> ends)
{
    this->machine.read([&](const WorkflowStore &store) {
        for (RunEnd &end : ends) {
            const QueuePolicy *queue = this->queueOf(end.task.step.workflow, store);
            end.maxFailures = queue == nullptr ? unlimitedFailures : queue->maxFailures;
            this->learnSpeed(incarnation, end, store);
            this->forgetUse(end, store);
        }
    });
    logRunsEnded(incarnation, ends);
    std::vector<WorkflowId> touched;
    touched.reserve(ends.size());
    const Instant now = this->options.clock();
    const TargetTrust before = this->health.trust(incarnation, now);
    for (const RunEnd &end : ends) {
        touched.push_back(end.task.step.workflow);
        this->health.ended(incarnation, end.task.step.workflow, end.outcome, now);
    }
    this->metrics.runsOver(ends);
    logTargetTrust(incarnation, before, this->health.trust(incarnation, now));
    const std::int64_t atMs = this->options.calendarMs();
    this->storeEnds({std::move(ends), atMs},
                    [this, incarnation, atMs, touched = std::move(touched)] {
                        this->finishWorkflows(touched, atMs);
                        const auto found = this->incarnations.find(incarnation);
                        if (found != this->incarnations.end())
                            found->second.session->committed();
                    });
}

/// Stores the ends of runs, again until that succeeds or another controller polls for them.
void Controller::storeEnds(const EndRuns &command, const std::function<void()> &stored)
{
    this->enqueue(
        command,
        [this, command, stored, inTerm = this->term](const Result<CommandOutcome> &outcome) {
            if (outcome) {
                stored();
                return;
            }
            this->options.runAfter(storeRetryDelay,
                                   [this, alive = this->alive, command, stored, inTerm] {
                                       if (*alive && this->leads && this->term == inTerm)
                                           this->storeEnds(command, stored);
                                   });
        });
}

/// Takes a run that has not ended by itself, nor with its workflow, out of its account's use.
void Controller::forgetUse(const RunEnd &end, const WorkflowStore &store)
{
    const Workflow *workflow = store.find(end.task.step.workflow);
    if (workflow == nullptr || workflow->isOver() || end.outcome == RunOutcome::Succeeded
        || end.outcome == RunOutcome::Failed)
        return;
    const TaskProgress *task = workflow->task(end.task);
    if (task == nullptr || task->phase != TaskPhase::Placed || task->run != end.run)
        return; // reported again
    this->accountUse.forgetRun(workflow->spec.account, workflow->spec.queue,
                               workflow->spec.steps[end.task.step.step].reserved());
}

/// Counts the workflows that a command of \a atMs has finished, and stops their remaining runs.
void Controller::finishWorkflows(const std::vector<WorkflowId> &touched, std::int64_t atMs)
{
    this->countFinished(touched, atMs);
    for (const WorkflowId id : touched) {
        const bool isLeft = this->machine.read([&](const WorkflowStore &store) {
            const Workflow *workflow = store.find(id);
            return workflow != nullptr && workflow->isOver() && workflow->placed > 0;
        });
        if (isLeft)
            this->stopPlaced(id);
    }
}

void Controller::incarnationOver(IncarnationId incarnation, IncarnationEnd how)
{
    const auto found = this->incarnations.find(incarnation);
    if (found == this->incarnations.end() || this->unsettledCounts.count(incarnation) != 0)
        return;
    logTargetEnded(found->second.session->identity(), how);
    const std::shared_ptr<TargetSession> session = found->second.session;
    this->recordLeaseLeft(*session);
    if (how != IncarnationEnd::Reborn)
        session->declareLost();
    else if (this->keepUnsettled(*session))
        return; // it is forgotten when they are settled
    this->recordCrash(incarnation, how);
    this->forgetIncarnation(incarnation);
}

void Controller::forgetIncarnation(IncarnationId incarnation)
{
    this->enqueue(ForgetIncarnation{incarnation},
                  [this, incarnation](const Result<CommandOutcome> &outcome) {
                      if (outcome && outcome.value() != CommandOutcome::Rejected) {
                          this->incarnations.erase(incarnation);
                          this->polled.erase(incarnation);
                          this->resting.erase(incarnation);
                          this->neverPolled.erase(incarnation);
                      }
                      this->health.forget(incarnation);
                      this->speeds.forget(incarnation);
                  });
}

void Controller::heartbeatReceived(const TargetReport &report, const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const IncarnationId newest = this->machine.read(
        [&](const WorkflowStore &store) { return store.newestIncarnation(report.identity.name); });
    const auto known = this->incarnations.find(newest);
    const std::int64_t knownStartedAtMs =
        known == this->incarnations.end() ? -1 : known->second.session->identity().startedAtMs;
    if (known != this->incarnations.end() && this->isUnproven(newest, report)) {
        if (this->replacesUnproven(newest, report, done))
            this->registerIncarnation(report, done);
        return;
    }
    if (knownStartedAtMs > report.identity.startedAtMs) {
        done(Nothing{}); // a delayed report of an earlier incarnation has no effect
        return;
    }
    if (knownStartedAtMs == report.identity.startedAtMs) {
        if (known->second.reports.accepts(report.sequence, this->options.clock())) {
            known->second.session->recordHeartbeat(report.isReady, report.coldFor);
            this->applyReport(newest, report, done);
            return;
        }
        // An incarnation that has begun to drain does so until its end.
        if (!report.isReady)
            this->setDraining(newest, true, done);
        else
            done(Nothing{});
        return;
    }
    if (knownStartedAtMs >= 0) {
        const TargetState &state = known->second;
        if (!state.session->isOver() && state.confirmedStart != report.identity.startedAtMs) {
            this->confirmStart(newest, report, done);
            return;
        }
        this->incarnationOver(newest, IncarnationEnd::Reborn);
    }
    this->registerIncarnation(report, done);
}

void Controller::registerIncarnation(const TargetReport &report, const Done<Nothing> &done)
{
    if (this->incarnations.size() >= maxIncarnations) {
        done(failure(ErrorCode::LimitExceeded, "too many targets are registered"));
        return;
    }
    const std::string name = report.identity.name;
    this->enqueue(RegisterIncarnation{report.identity},
                  [this, name, report, done](const Result<CommandOutcome> &outcome) {
                      if (!outcome) {
                          done(outcome.error());
                          return;
                      }
                      IncarnationId incarnation = IncarnationId::None;
                      IncarnationRecord record;
                      this->machine.read([&](const WorkflowStore &store) {
                          incarnation = store.newestIncarnation(name);
                          if (const IncarnationRecord *found = store.find(incarnation))
                              record = *found;
                      });
                      if (this->leads && incarnation != IncarnationId::None
                          && this->incarnations.count(incarnation) == 0
                          && record.identity.startedAtMs == report.identity.startedAtMs) {
                          logTargetStarted(record.identity);
                          this->openSession(incarnation, record).begin();
                          this->incarnations[incarnation].reports.accepts(report.sequence,
                                                                          this->options.clock());
                          this->incarnations[incarnation].session->recordHeartbeat(report.isReady,
                                                                                   report.coldFor);
                          this->setDraining(incarnation, !report.isReady, done);
                          return;
                      }
                      done(Nothing{});
                  });
}

/// True if the known incarnation holds the name against the report, without work and without having
/// ever answered this controller.
bool Controller::isUnproven(IncarnationId known, const TargetReport &report) const
{
    const TargetSession &session = *this->incarnations.at(known).session;
    const TargetIdentity &identity = session.identity();
    const bool isOther = identity.startedAtMs > report.identity.startedAtMs
        || (identity.startedAtMs == report.identity.startedAtMs
            && identity.address != report.identity.address);
    if (!isOther || session.isOver() || session.hasAnswered() || session.orders() > 0)
        return false;
    return this->machine.read([known](const WorkflowStore &store) {
        const IncarnationRecord *record = store.find(known);
        return record != nullptr && record->placed.empty();
    });
}

/// Returns true if the report is to be registered in place of the unproven incarnation \a known;
/// otherwise \a done is called.
///
/// Guards against an odd entry that is stored under the name of a target, from before its first
/// report or by an earlier version, and keeps that target without work.
bool Controller::replacesUnproven(IncarnationId known, const TargetReport &report,
                                  const Done<Nothing> &done)
{
    TargetState &state = this->incarnations.at(known);
    if (!state.session->isUnanswered()) {
        if (state.session->isResting()) {
            this->woken(known);
            state.session->wake();
        }
        done(failure(ErrorCode::Conflict, "another incarnation under this name is being asked"));
        return false;
    }
    if (std::exchange(state.confirmedStart, -1) != report.identity.startedAtMs) {
        this->confirmStart(known, report, done);
        return false;
    }
    this->forgetUnproven(known);
    return true;
}

/// Also forgets what is left of earlier incarnations under its name: the process that is registered
/// next may be one of these, and two sessions would stop each other's runs.
void Controller::forgetUnproven(IncarnationId known)
{
    const std::string name = this->incarnations.at(known).session->identity().name;
    std::vector<IncarnationId> earlier;
    for (const auto &[incarnation, state] : this->incarnations) {
        if (incarnation != known && state.session->identity().name == name
            && !state.session->isOver())
            earlier.push_back(incarnation);
    }
    for (const IncarnationId incarnation : earlier)
        this->incarnationOver(incarnation, IncarnationEnd::Replaced);
    this->incarnationOver(known, IncarnationEnd::Silent);
}

/// Asks the process that a report names whether it is another incarnation than \a known, and
/// receives the report again once it says so.
///
/// Guards against an entry of another writer that takes a target away which is alive and has tasks
/// running: whatever the report says, no process answers for it.
void Controller::confirmStart(IncarnationId known, const TargetReport &report,
                              const Done<Nothing> &done)
{
    TargetState &state = this->incarnations.at(known);
    if (std::exchange(state.isConfirming, true)) {
        done(failure(ErrorCode::Conflict, "a later start under this name is being confirmed"));
        return;
    }
    HoldOrder question;
    question.fence = this->fences.next();
    const Instant deadline = this->options.clock() + this->options.session.orderTimeout;
    this->targets.hold(report.identity, question, deadline,
                       [this, alive = this->alive, inTerm = this->term, known, report,
                        done](const Result<HoldAnswer> &answer) {
                           if (!*alive || !this->leads || this->term != inTerm) {
                               done(failure(ErrorCode::NotLeader, "leadership was lost"));
                               return;
                           }
                           const auto found = this->incarnations.find(known);
                           const bool isAnswered =
                               answer && answer.value().reply == OrderReply::Done;
                           if (found != this->incarnations.end()) {
                               found->second.isConfirming = false;
                               if (isAnswered)
                                   found->second.confirmedStart = report.identity.startedAtMs;
                           }
                           if (isAnswered || found == this->incarnations.end()) {
                               this->heartbeatReceived(report, done);
                               return;
                           }
                           // The process that was asked may be the known one.
                           found->second.session->renewFence();
                           this->metrics.claimRefused();
                           logClaimRefused(found->second.session->identity(), report.identity);
                           done(failure(ErrorCode::Conflict, "no process answers for this start"));
                       });
}

/// Incarnations that are unknown here have ended: the replica that named them has not applied that
/// yet, and forwards their next reports once it has.
void Controller::unchangedReportsReceived(const std::vector<IncarnationId> &heard)
{
    for (const IncarnationId incarnation : heard) {
        const auto found = this->incarnations.find(incarnation);
        if (found != this->incarnations.end())
            found->second.session->recordUnchangedReport();
    }
}

/// Applies the parts of a report that may change during an incarnation. Acknowledged once they are
/// stored.
void Controller::applyReport(IncarnationId incarnation, const TargetReport &report,
                             const Done<Nothing> &done)
{
    Resources before;
    this->machine.read([&](const WorkflowStore &store) {
        const IncarnationRecord *record = store.find(incarnation);
        before = record == nullptr ? report.identity.capacity : record->identity.capacity;
    });
    if (before == report.identity.capacity) {
        this->setDraining(incarnation, !report.isReady, done);
        return;
    }
    const auto resized = [this, incarnation, before, report,
                          done](const Result<CommandOutcome> &outcome) {
        if (!outcome) {
            done(outcome.error());
            return;
        }
        if (outcome.value() == CommandOutcome::Applied)
            logTargetResized(report.identity, before);
        this->setDraining(incarnation, !report.isReady, done);
    };
    this->enqueue(ResizeIncarnation{incarnation, report.identity.capacity, report.sequence},
                  resized);
}

/// Acknowledged once it is stored: a controller that takes over a moment later must not start
/// anything there either.
void Controller::setDraining(IncarnationId incarnation, bool isDraining, const Done<Nothing> &done)
{
    const bool isKnown = this->machine.read([&](const WorkflowStore &store) {
        const IncarnationRecord *record = store.find(incarnation);
        return record == nullptr || record->isDraining == isDraining;
    });
    if (isKnown) {
        done(Nothing{});
        return;
    }
    this->enqueue(SetIncarnationDraining{incarnation, isDraining},
                  [done](const Result<CommandOutcome> &outcome) {
                      if (outcome)
                          done(Nothing{});
                      else
                          done(outcome.error());
                  });
}

/// An announcement that names no incarnation counts for the newest one only if that one drains.
///
/// Guards against an announcement that is carried out late and ends the next incarnation: its tasks
/// would get no further lease.
void Controller::targetLeft(const std::string &name, std::int64_t startedAtMs,
                            const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const IncarnationId newest = this->machine.read(
        [&](const WorkflowStore &store) { return store.newestIncarnation(name); });
    const auto known = this->incarnations.find(newest);
    const bool isDraining = this->machine.read([newest](const WorkflowStore &store) {
        const IncarnationRecord *record = store.find(newest);
        return record != nullptr && record->isDraining;
    });
    const bool isThisIncarnation = known != this->incarnations.end()
        && (startedAtMs == 0 ? isDraining
                             : known->second.session->identity().startedAtMs == startedAtMs);
    if (!isThisIncarnation)
        logAnnouncementIgnored(name, startedAtMs);
    if (isThisIncarnation && !known->second.session->isOver()) {
        const TargetIdentity identity = known->second.session->identity();
        logTargetEnded(identity, IncarnationEnd::Left);
        this->recordLeaseLeft(*known->second.session);
        const Instant announcedAt = this->options.clock();
        known->second.session->leave([this, newest, identity, announcedAt](DepartureEnd how) {
            const auto took =
                std::chrono::duration_cast<Milliseconds>(this->options.clock() - announcedAt);
            logTargetGone(identity, how, took);
            this->metrics.targetGone(how, took);
            this->forgetIncarnation(newest);
        });
    }
    done(Nothing{});
}

/// Ends a run whose placement was being stored when its incarnation was found to be over: no order
/// for it has been sent, and none will be.
void Controller::neverStarted(IncarnationId incarnation, const TaskAddress &task, RunNumber run)
{
    RunEnd end;
    end.task = task;
    end.run = run;
    end.outcome = RunOutcome::NeverStarted;
    this->storeEnds({{end}, this->options.calendarMs()}, [] {});
    this->forgetIncarnation(incarnation);
}

const QueuePolicy *Controller::queueOf(WorkflowId id, const WorkflowStore &store) const
{
    const Workflow *workflow = store.find(id);
    return workflow == nullptr ? nullptr : this->currentPolicy.queue(workflow->spec.queue);
}

} // namespace guavavalve::workflows
