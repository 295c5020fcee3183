#include "workflows/controller.h"

#include "core/codec.h"
#include "workflows/decisionlog.h"

#include <algorithm>
#include <utility>

namespace guavavalve::workflows {

namespace {

/// For an answer about admissions: three of the slowest questions that objectives allow for.
constexpr Milliseconds adviceLimit{3000};
/// Before a question that failed is asked again.
constexpr Milliseconds adviceRetryPause{100};
/// What may pass between the making of a ticket and its arrival here.
constexpr Milliseconds ticketAge{100};
/// Members of a gang that has lost others are broken off by their targets; those that are not
/// within this time are stopped.
constexpr Milliseconds orphanPatience{1000};
/// Room is kept for a step no longer than this: a question about a few targets takes 0.6 s.
constexpr Milliseconds claimLimit{1500};
/// A target that has been silent for this long with nothing on it is forgotten.
constexpr Milliseconds forgetSilence{15000};
constexpr Milliseconds forgetInterval{2000};
constexpr Milliseconds planLogInterval{1000};
/// One target in so many may be suspended at a time: if more fail, something else is wrong.
constexpr std::size_t partSuspended = 4;
/// Of a task whose queue is gone: nobody may call it failed.
constexpr std::uint16_t neverFailed = 1000;

} // namespace

Controller::Controller(ControllerOptions options, ReplicatedLog &log, BookMachine &machine,
                       TargetPort &targets, AdmissionPort &admissions)
    : options(std::move(options))
    , log(log)
    , machine(machine)
    , targets(targets)
    , admissionPort(admissions)
{}

Controller::~Controller()
{
    *this->alive = false;
    for (auto &[life, state] : this->lives)
        state.session->end();
}

Error Controller::notLeading() const
{
    return failure(ErrorCode::NotLeader, this->log.status().leaderAddress);
}

bool Controller::isCurrent() const
{
    return this->leads && this->log.holdsLeaderLease();
}

void Controller::leadershipChanged(bool nowLeads, std::uint64_t newTerm)
{
    for (auto &[life, state] : this->lives)
        state.session->end();
    this->lives.clear();
    this->health.clear();
    this->admissions.clear();
    this->claims.clear();
    this->orphansSince.clear();
    this->openQuestions = 0;
    for (Pending &waiting : std::exchange(this->pending, {})) {
        if (waiting.done)
            waiting.done(this->notLeading());
    }
    for (const Done<Nothing> &barrier : std::exchange(this->waitingBarriers, {}))
        barrier(this->notLeading());
    this->leads = nowLeads;
    this->term = newTerm;
    this->isBatchUnderWay = false;
    if (!nowLeads)
        return;
    this->refreshPolicy();
    const LifeTable known = this->machine.read([](const Book &book) { return book.lives(); });
    for (const auto &[life, record] : known)
        this->openSession(life, record);
    this->needsPlan = true;
    this->tick(newTerm);
}

void Controller::refreshPolicy()
{
    std::string document;
    const std::int64_t version = this->machine.read([&](const Book &book) {
        if (book.documentVersion() != this->policyVersion)
            document = book.document();
        return book.documentVersion();
    });
    if (version == this->policyVersion)
        return;
    this->policyVersion = version;
    if (document.empty())
        return;
    auto read = this->options.readPolicy(document);
    if (!read) {
        logDocumentUnreadable(version, read.error());
        return;
    }
    this->inForce = std::move(read).value();
    logDocumentInForce(version, this->inForce);
    this->needsPlan = true;
}

void Controller::submit(WorkflowSpec spec, Done<CommandOutcome> done)
{
    spec.acceptedAtMs = this->options.calendarMs();
    this->add(AcceptWorkflow{std::move(spec)}, std::move(done));
}

void Controller::cancel(WorkflowId id, Done<CommandOutcome> done)
{
    this->add(CancelWorkflow{id, this->options.calendarMs()},
              [this, id, done = std::move(done)](const Result<CommandOutcome> &outcome) {
                  if (outcome && outcome.value() != CommandOutcome::Rejected)
                      this->stopPlaced(id);
                  done(outcome);
              });
}

void Controller::storeDocument(std::int64_t version, std::string text, Done<CommandOutcome> done)
{
    this->add(StoreDocument{version, std::move(text)},
              [this, done = std::move(done)](const Result<CommandOutcome> &outcome) {
                  if (outcome)
                      this->refreshPolicy();
                  done(outcome);
              });
}

void Controller::confirm(Done<Nothing> done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    this->waitingBarriers.push_back(std::move(done));
    this->flush();
}

void Controller::add(Command command, Done<CommandOutcome> done)
{
    if (!this->leads) {
        if (done)
            done(this->notLeading());
        return;
    }
    this->pending.push_back({std::move(command), std::move(done)});
    this->flush();
}

/// Queued behind what the loop has waiting, so that what came in together shares a batch.
void Controller::flush()
{
    if (this->isBatchUnderWay || this->isFlushQueued || !this->leads)
        return;
    this->isFlushQueued = true;
    this->options.post([this, alive = this->alive] {
        if (!*alive)
            return;
        this->isFlushQueued = false;
        if (this->isBatchUnderWay || !this->leads)
            return;
        std::vector<Pending> batch = std::exchange(this->pending, {});
        if (std::exchange(this->needsPlan, false))
            this->plan(batch);
        std::vector<Done<Nothing>> barriers = std::exchange(this->waitingBarriers, {});
        if (batch.empty() && barriers.empty())
            return;
        CommandBatch commands;
        commands.reserve(batch.size());
        for (const Pending &one : batch)
            commands.push_back(one.command);
        this->isBatchUnderWay = true;
        auto stored = [this, alive, inTerm = this->term, batch = std::move(batch),
                       barriers = std::move(barriers)](Result<std::string> outcome) {
            this->options.post(
                [this, alive, inTerm, batch, barriers, outcome = std::move(outcome)] {
                    if (*alive)
                        this->batchStored(inTerm, batch, barriers, outcome);
                });
        };
        this->log.propose(encode(commands), std::move(stored));
    });
}

void Controller::batchStored(std::uint64_t inTerm, const std::vector<Pending> &batch,
                             const std::vector<Done<Nothing>> &barriers,
                             const Result<std::string> &outcome)
{
    const bool isOurTerm = this->leads && this->term == inTerm;
    if (isOurTerm)
        this->isBatchUnderWay = false;
    Result<CommandOutcomes> outcomes = failure(ErrorCode::Unavailable, "not stored");
    if (!outcome)
        outcomes = outcome.error();
    else
        outcomes = decode<CommandOutcomes>(outcome.value());
    if (outcomes && outcomes.value().size() != batch.size())
        outcomes = failure(ErrorCode::Corrupt, "a batch has other outcomes than commands");
    for (std::size_t i = 0; i < batch.size(); ++i) {
        if (!batch[i].done)
            continue;
        if (!outcomes)
            batch[i].done(outcomes.error());
        else
            batch[i].done(outcomes.value()[i]);
    }
    for (const Done<Nothing> &barrier : barriers) {
        if (outcomes)
            barrier(Nothing{});
        else
            barrier(outcomes.error());
    }
    if (!isOurTerm)
        return;
    // What has just been stored is what the next plan is made of: accepted steps, and the room
    // and the steps that ends have freed. Without this they would wait for the next tick.
    for (std::size_t i = 0; outcomes && i < batch.size(); ++i) {
        this->needsPlan |= outcomes.value()[i] == CommandOutcome::Applied
            && !std::holds_alternative<PlaceRuns>(batch[i].command);
    }
    if (!this->pending.empty() || !this->waitingBarriers.empty() || this->needsPlan)
        this->flush();
}

std::vector<OpenTarget> Controller::openTargets(const Book &book) const
{
    const Instant now = this->options.clock();
    const std::size_t maxSuspended = this->lives.size() / partSuspended;
    std::size_t suspended = 0;
    std::vector<OpenTarget> open;
    for (const auto &[life, state] : this->lives) {
        if (!state.session->isUsable())
            continue;
        const TargetTrust trust = this->health.trust(life, now);
        if (trust == TargetTrust::Suspended && suspended++ < maxSuspended)
            continue;
        const LifeRecord *record = book.find(life);
        if (record == nullptr || book.newestLife(record->identity.name) != life)
            continue;
        const bool onProbation = trust == TargetTrust::Probation;
        if (onProbation && !record->placed.empty())
            continue;
        open.push_back(
            {life, &record->identity, record->identity.capacity - record->used, onProbation});
    }
    return open;
}

void Controller::plan(std::vector<Pending> &batch)
{
    const Plan made = this->machine.read([&](const Book &book) {
        return makePlan({book, this->inForce, this->admissions, this->claims,
                         this->openTargets(book), this->options.clock(),
                         this->options.calendarMs()});
    });
    for (const PlaceRuns &command : made.placements) {
        batch.push_back({command, [this, command](const Result<CommandOutcome> &outcome) {
                             if (outcome)
                                 this->placed(command, outcome.value());
                         }});
    }
    for (const AdmissionQuestion &question : made.questions)
        this->ask(question);
    const Instant now = this->options.clock();
    if (now < this->nextPlanLog)
        return;
    this->nextPlanLog = now + planLogInterval;
    const std::size_t live =
        this->machine.read([](const Book &book) { return book.live().size(); });
    logPlan(made.summary, this->openQuestions, live);
}

/// Sends the starts of a placement that has been stored.
void Controller::placed(const PlaceRuns &command, CommandOutcome outcome)
{
    if (outcome != CommandOutcome::Applied || !this->leads) {
        logPlacementRejected(command, outcome);
        return;
    }
    StartOrder order;
    order.run = command.run;
    order.term = this->term;
    std::vector<std::string> checkpoints(command.placements.size());
    const bool isKnown = this->machine.read([&](const Book &book) {
        const Workflow *workflow = book.find(command.step.workflow);
        if (workflow == nullptr)
            return false;
        order.payload = workflow->spec.payload;
        const StepProgress &progress = workflow->step(command.step);
        std::string shared;
        for (const TaskProgress &task : progress.tasks)
            shared = shared.empty() ? task.checkpoint : shared;
        const bool isGang = workflow->spec.steps[command.step.step].gang;
        for (std::size_t i = 0; i < command.placements.size(); ++i) {
            checkpoints[i] =
                isGang ? shared : progress.tasks[command.placements[i].index].checkpoint;
        }
        return true;
    });
    if (!isKnown)
        return;
    logPlaced(command);
    const auto admitted = this->admissions.find(command.step);
    for (std::size_t i = 0; i < command.placements.size(); ++i) {
        const Placement &placement = command.placements[i];
        const auto life = this->lives.find(placement.life);
        if (life == this->lives.end())
            continue; // its life has ended meanwhile, and with it what was placed there
        order.task = {command.step, placement.index};
        if (life->second.session->isOver()) {
            this->neverStarted(placement.life, order.task, command.run);
            continue;
        }
        order.checkpoint = checkpoints[i];
        if (admitted != this->admissions.end()) {
            const auto ticket = admitted->second.admitted.find(placement.life);
            if (ticket != admitted->second.admitted.end())
                order.ticket = ticket->second.ticket;
        }
        life->second.session->start(order);
    }
}

/// A placement that was under way when its target's life was found to be over: no order for it
/// has been sent, and none will be.
void Controller::neverStarted(LifeNumber life, const TaskAddress &task, RunNumber run)
{
    RunEnd end;
    end.task = task;
    end.run = run;
    end.outcome = RunOutcome::NeverStarted;
    this->add(EndRuns{{end}, this->options.calendarMs()}, nullptr);
    this->forgetLife(life);
}

void Controller::ask(const AdmissionQuestion &question)
{
    std::vector<std::string> names;
    double expectedMs = 0.0;
    this->machine.read([&](const Book &book) {
        const QueuePolicy *queue = this->queueOf(question.step.workflow, book);
        if (queue != nullptr) {
            expectedMs = queue->adviceMs
                + queue->adviceMsPerTarget * static_cast<double>(question.targets.size());
        }
        for (const LifeNumber life : question.targets) {
            if (const LifeRecord *record = book.find(life))
                names.push_back(record->identity.name);
        }
    });
    this->admissions[question.step].asked.insert(question.targets.begin(), question.targets.end());
    if (!question.claim.empty())
        this->claims[question.step] = {question.claim, this->options.clock() + claimLimit};
    ++this->openQuestions;
    this->admissionPort.ask(question.step, names,
                            Milliseconds(static_cast<std::int64_t>(expectedMs)),
                            this->options.clock() + adviceLimit,
                            [this, alive = this->alive, inTerm = this->term,
                             question](const Result<AdmissionPort::Admitted> &answer) {
                                if (*alive && this->leads && this->term == inTerm)
                                    this->answered(question, answer);
                            });
}

void Controller::answered(const AdmissionQuestion &question,
                          const Result<AdmissionPort::Admitted> &answer)
{
    --this->openQuestions;
    const auto found = this->admissions.find(question.step);
    if (found == this->admissions.end())
        return;
    StepAdmissions &known = found->second;
    for (const LifeNumber life : question.targets)
        known.asked.erase(life);
    const Instant now = this->options.clock();
    if (!answer) {
        known.nextQuestionAt = now + adviceRetryPause;
        this->claims.erase(question.step);
        logAdviceFailed(question.step, answer.error());
        return;
    }
    this->machine.read([&](const Book &book) {
        const QueuePolicy *queue = this->queueOf(question.step.workflow, book);
        if (queue == nullptr)
            return;
        const std::map<std::string, std::string> tickets(answer.value().begin(),
                                                         answer.value().end());
        for (const LifeNumber life : question.targets) {
            const LifeRecord *record = book.find(life);
            const auto ticket =
                record == nullptr ? tickets.end() : tickets.find(record->identity.name);
            if (ticket == tickets.end()) {
                known.refused.insert(life);
                continue;
            }
            known.admitted[life] = {ticket->second,
                                    now + Milliseconds(queue->adviceValidMs) - ticketAge};
        }
    });
    logAdvised(question.step, question.targets.size(), answer.value().size());
    this->needsPlan = true;
    this->flush();
}

void Controller::openSession(LifeNumber life, const LifeRecord &record)
{
    TargetSession::Hooks hooks;
    hooks.runsOver = [this, life](std::vector<RunEnd> ends) {
        this->runsOver(life, std::move(ends));
    };
    hooks.usableChanged = [this] {
        this->needsPlan = true;
        this->flush();
    };
    hooks.lifeOver = [this, life] { this->lifeOver(life); };
    hooks.runAfter = this->options.runAfter;
    hooks.isCurrent = [this] { return this->isCurrent(); };
    auto session =
        std::make_shared<TargetSession>(life, record.identity, this->term, this->options.session,
                                        this->targets, std::move(hooks), this->options.clock);
    this->machine.read([&](const Book &book) {
        for (const TaskAddress &task : record.placed) {
            const Workflow *workflow = book.find(task.step.workflow);
            const TaskProgress *progress = workflow == nullptr ? nullptr : workflow->task(task);
            if (progress == nullptr)
                continue;
            session->adopt(task, progress->run);
        }
    });
    this->lives[life].session = session;
    session->heard(!record.isDraining);
    session->begin();
    for (const TaskAddress &task : record.placed) {
        const bool isOver = this->machine.read([&](const Book &book) {
            const Workflow *workflow = book.find(task.step.workflow);
            return workflow == nullptr || workflow->isOver();
        });
        if (isOver)
            session->stop(task);
    }
}

const QueuePolicy *Controller::queueOf(WorkflowId id, const Book &book) const
{
    const Workflow *workflow = book.find(id);
    return workflow == nullptr ? nullptr : this->inForce.queue(workflow->spec.queue);
}

void Controller::runsOver(LifeNumber life, std::vector<RunEnd> ends)
{
    this->machine.read([&](const Book &book) {
        for (RunEnd &end : ends) {
            const QueuePolicy *queue = this->queueOf(end.task.step.workflow, book);
            end.maxFailures = queue == nullptr ? neverFailed : queue->maxFailures;
        }
    });
    logRunsOver(life, ends);
    std::vector<WorkflowId> touched;
    touched.reserve(ends.size());
    const Instant now = this->options.clock();
    const TargetTrust before = this->health.trust(life, now);
    for (const RunEnd &end : ends) {
        touched.push_back(end.task.step.workflow);
        this->health.ended(life, end.task.step.workflow, end.outcome, now);
    }
    logTrust(life, before, this->health.trust(life, now));
    EndRuns command{std::move(ends), this->options.calendarMs()};
    this->add(
        std::move(command),
        [this, life, touched = std::move(touched)](const Result<CommandOutcome> &outcome) {
            const auto found = this->lives.find(life);
            if (!outcome || found == this->lives.end())
                return; // leadership is lost: the next controller learns of the ends by itself
            const std::shared_ptr<TargetSession> session = found->second.session;
            session->committed();
            for (const WorkflowId id : touched) {
                const bool hasFailed = this->machine.read([&](const Book &book) {
                    const Workflow *workflow = book.find(id);
                    return workflow != nullptr && workflow->isOver() && workflow->placed > 0;
                });
                if (hasFailed)
                    this->stopPlaced(id);
            }
        });
}

void Controller::lifeOver(LifeNumber life)
{
    const auto found = this->lives.find(life);
    if (found == this->lives.end())
        return;
    logLifeOver(found->second.session->identity());
    const std::shared_ptr<TargetSession> session = found->second.session;
    session->declareOver();
    this->forgetLife(life);
}

void Controller::forgetLife(LifeNumber life)
{
    this->add(ForgetLife{life}, [this, life](const Result<CommandOutcome> &outcome) {
        if (outcome && outcome.value() != CommandOutcome::Rejected)
            this->lives.erase(life);
        this->health.forget(life);
    });
}

void Controller::addPlaced(const StepAddress &address, const StepProgress &step, PlacedTasks &to)
{
    for (std::size_t t = 0; t < step.tasks.size(); ++t) {
        if (step.tasks[t].phase == TaskPhase::Placed)
            to.emplace_back(step.tasks[t].life,
                            TaskAddress{address, static_cast<std::uint16_t>(t)});
    }
}

void Controller::stopAll(const PlacedTasks &placed)
{
    for (const auto &[life, task] : placed) {
        const auto found = this->lives.find(life);
        if (found != this->lives.end())
            found->second.session->stop(task);
    }
}

void Controller::stopPlaced(WorkflowId id)
{
    PlacedTasks placed;
    this->machine.read([&](const Book &book) {
        const Workflow *workflow = book.find(id);
        if (workflow == nullptr)
            return;
        for (std::uint32_t k = 0; k < workflow->occurrences.size(); ++k) {
            for (std::size_t i = 0; i < workflow->occurrences[k].size(); ++i) {
                addPlaced({id, k, static_cast<std::uint16_t>(i)}, workflow->occurrences[k][i],
                          placed);
            }
        }
    });
    this->stopAll(placed);
}

/// Stops what is left of a gang that has lost members, if the targets do not break it off.
void Controller::stopOrphans()
{
    const Instant now = this->options.clock();
    std::map<StepAddress, Instant> since;
    PlacedTasks orphans;
    this->machine.read([&](const Book &book) {
        for (const WorkflowId id : book.live()) {
            const Workflow &workflow = *book.find(id);
            for (std::uint32_t k = 0; k < workflow.occurrences.size(); ++k) {
                for (std::size_t i = 0; i < workflow.occurrences[k].size(); ++i) {
                    const StepProgress &step = workflow.occurrences[k][i];
                    const bool isBroken = workflow.spec.steps[i].gang && step.placed > 0
                        && step.placed < step.tasks.size();
                    if (!isBroken)
                        continue;
                    const StepAddress address{id, k, static_cast<std::uint16_t>(i)};
                    const auto before = this->orphansSince.find(address);
                    const Instant began = before == this->orphansSince.end() ? now : before->second;
                    since[address] = began;
                    if (now > began + orphanPatience)
                        addPlaced(address, step, orphans);
                }
            }
        }
    });
    this->orphansSince = std::move(since);
    this->stopAll(orphans);
}

void Controller::targetHeard(const TargetReport &report, const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const LifeNumber newest =
        this->machine.read([&](const Book &book) { return book.newestLife(report.identity.name); });
    const auto known = this->lives.find(newest);
    const std::int64_t born =
        known == this->lives.end() ? -1 : known->second.session->identity().bornAtMs;
    if (born > report.identity.bornAtMs) {
        done(Nothing{}); // delayed, from an earlier life: it changes nothing
        return;
    }
    if (born == report.identity.bornAtMs) {
        if (report.sequence >= known->second.sequence) {
            known->second.sequence = report.sequence;
            known->second.session->heard(report.isReady);
            this->setDraining(newest, !report.isReady, done);
            return;
        }
        done(Nothing{});
        return;
    }
    if (born >= 0)
        this->lifeOver(newest);
    const std::string name = report.identity.name;
    this->add(BeginLife{report.identity},
              [this, name, report, done](const Result<CommandOutcome> &outcome) {
                  if (!outcome) {
                      done(outcome.error());
                      return;
                  }
                  LifeNumber life = LifeNumber::None;
                  LifeRecord record;
                  this->machine.read([&](const Book &book) {
                      life = book.newestLife(name);
                      if (const LifeRecord *found = book.find(life))
                          record = *found;
                  });
                  if (this->leads && life != LifeNumber::None && this->lives.count(life) == 0
                      && record.identity.bornAtMs == report.identity.bornAtMs) {
                      logLifeBegun(record.identity);
                      this->openSession(life, record);
                      this->lives[life].sequence = report.sequence;
                      this->lives[life].session->heard(report.isReady);
                      this->setDraining(life, !report.isReady, done);
                      return;
                  }
                  done(Nothing{});
              });
}

/// Acknowledged once it is stored: a controller that takes over a moment later must not start
/// anything there either.
void Controller::setDraining(LifeNumber life, bool isDraining, const Done<Nothing> &done)
{
    const bool isKnown = this->machine.read([&](const Book &book) {
        const LifeRecord *record = book.find(life);
        return record == nullptr || record->isDraining == isDraining;
    });
    if (isKnown) {
        done(Nothing{});
        return;
    }
    this->add(DrainLife{life, isDraining}, [done](const Result<CommandOutcome> &outcome) {
        if (outcome)
            done(Nothing{});
        else
            done(outcome.error());
    });
}

void Controller::targetLeft(const std::string &name, std::int64_t bornAtMs,
                            const Done<Nothing> &done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    const LifeNumber newest =
        this->machine.read([&](const Book &book) { return book.newestLife(name); });
    const auto known = this->lives.find(newest);
    const bool isThisLife = known != this->lives.end()
        && (bornAtMs == 0 || known->second.session->identity().bornAtMs == bornAtMs);
    if (isThisLife)
        this->lifeOver(newest);
    done(Nothing{});
}

void Controller::tick(std::uint64_t inTerm)
{
    if (!this->leads || this->term != inTerm)
        return;
    const auto all = this->lives; // a session that ends takes itself out
    for (const auto &[life, state] : all)
        state.session->tick();
    this->stopOrphans();
    this->forgetOld();
    this->needsPlan = true; // tasks come due, and answers are asked for again, with time
    this->flush();
    this->options.runAfter(this->options.tick, [this, alive = this->alive, inTerm] {
        if (*alive)
            this->tick(inTerm);
    });
}

void Controller::forgetOld()
{
    const Instant now = this->options.clock();
    if (now < this->nextForget)
        return;
    this->nextForget = now + forgetInterval;
    const std::int64_t before = this->options.calendarMs() - this->options.retention.count();
    ForgetWorkflows command;
    this->machine.read([&](const Book &book) {
        for (const auto &[id, workflow] : book.workflows()) {
            if (workflow.isOver() && workflow.placed == 0 && workflow.endedAtMs < before)
                command.ids.push_back(id);
        }
        for (auto step = this->admissions.begin(); step != this->admissions.end();) {
            const bool isLive = book.live().count(step->first.workflow) != 0;
            step = isLive || !step->second.asked.empty() ? std::next(step)
                                                         : this->admissions.erase(step);
        }
        for (auto claim = this->claims.begin(); claim != this->claims.end();)
            claim = claim->second.until < now ? this->claims.erase(claim) : std::next(claim);
    });
    if (!command.ids.empty())
        this->add(std::move(command), [](const Result<CommandOutcome> &) {});
    std::vector<LifeNumber> silent;
    for (const auto &[life, state] : this->lives) {
        if (state.session->isForgettable(forgetSilence))
            silent.push_back(life);
    }
    for (const LifeNumber life : silent)
        this->lifeOver(life);
}

} // namespace guavavalve::workflows
