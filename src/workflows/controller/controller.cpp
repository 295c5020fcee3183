#include "workflows/controller/controller.h"

#include "core/codec.h"
#include "core/scopeexit.h"
#include "workflows/log/decisionlog.h"
#include "workflows/shares/accountshares.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace guavavalve::workflows {

namespace {

constexpr Milliseconds planLogInterval{1000};
/// Of the commands in one entry of the log, in bytes: below what the log accepts, and little enough
/// that a slow peer receives an entry within a fraction of an election timeout.
constexpr std::size_t maxBatchBytes = 1U << 20U;
constexpr std::size_t maxAccountsInLog = 5;
/// In one batch of their own; about 200 B each.
constexpr std::size_t maxSeparateCommands = 1000;
/// One in this many targets may be suspended at a time: if more of them fail, the cause lies
/// elsewhere.
constexpr std::size_t targetsPerSuspension = 4;
/// One in this many targets may be reserved at a time for tasks on trial.
constexpr std::size_t targetsPerTrial = 4;
/// The pause after a plan, as a multiple of the time that the plan took. Planning never takes more
/// than a quarter of the loop's time.
constexpr int planPauseFactor = 3;
/// A loop delay beyond this is logged: orders and answers are delayed as much.
constexpr Milliseconds loopLagLogThreshold{100};

StoreOutcome storeOutcomeOf(const Result<CommandOutcome> &outcome)
{
    if (outcome)
        return StoreOutcome::Stored;
    return outcome.error().ran == Ran::No ? StoreOutcome::NotStored : StoreOutcome::Unknown;
}

} // namespace

Controller::Controller(ControllerOptions options, ReplicatedLog &log, WorkflowStoreMachine &machine,
                       TargetPort &targets, AdmissionPort &admissions)
    : options(std::move(options))
    , log(log)
    , machine(machine)
    , targets(targets)
    , admissionPort(admissions)
    , metrics(this->options.metrics,
              [this](const std::string &queue) { return this->currentPolicy.labelOf(queue); })
    , requests(this->options.clock())
{}

Controller::~Controller()
{
    *this->alive = false;
    for (auto &[incarnation, state] : this->incarnations)
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
    for (auto &[incarnation, state] : this->incarnations)
        state.session->end();
    this->incarnations.clear();
    this->sessionsToStart.clear();
    this->polled.clear();
    this->resting.clear();
    this->neverPolled.clear();
    this->isStartQueued = false;
    this->health.clear();
    this->speeds.clear();
    this->speedsToStore.reset();
    this->queuesToStore.reset();
    this->settling.clear();
    this->leasesLeft.clear();
    this->domainRequests.clear();
    this->leadsSince = this->options.clock();
    this->requests.forgetAll(this->leadsSince);
    this->unsettledCounts.clear();
    this->moveCounts.clear();
    this->admissions.clear();
    this->admittedFractions.clear();
    this->claims.clear();
    this->waits.clear();
    this->nextWaitingCount = {};
    this->accountUse.clear();
    this->shares.reset();
    this->incompleteGangsSince.clear();
    this->openQueries = 0;
    for (Pending &waiting : std::exchange(this->pending, {})) {
        if (waiting.done)
            waiting.done(this->notLeading());
    }
    for (Pending &waiting : std::exchange(this->separate, {}))
        waiting.done(this->notLeading());
    for (const Done<Nothing> &barrier : std::exchange(this->waitingBarriers, {}))
        barrier(this->notLeading());
    this->leads = nowLeads;
    this->term = newTerm;
    this->fences = FenceSequence(newTerm);
    this->isBatchPending = false;
    this->nextSpeedRefresh = {};
    if (!nowLeads)
        return;
    this->intake.begin(newTerm, this->options.clock());
    this->refreshPolicy();
    this->openSessions();
    this->needsPlan = true;
    this->nextTickAt = this->options.clock();
    this->tick(newTerm);
}

void Controller::refreshPolicy()
{
    std::string document;
    const std::int64_t version = this->machine.read([&](const WorkflowStore &store) {
        if (store.documentVersion() != this->policyVersion)
            document = store.document();
        return store.documentVersion();
    });
    if (version != this->policyVersion && !document.empty())
        this->isPolicyRead = this->readPolicy(version, document);
    this->policyVersion = version;
    this->recordQueues();
}

/// Returns false, and leaves the policy as it is, if the document cannot be read.
bool Controller::readPolicy(std::int64_t version, const std::string &document)
{
    auto read = this->options.readPolicy(document);
    if (!read) {
        logConfigurationUnreadable(version, read.error());
        return false;
    }
    this->currentPolicy = std::move(read).value();
    this->machine.read([this](const WorkflowStore &store) {
        for (const auto &[name, known] : store.queues()) {
            if (this->currentPolicy.queues.count(name) == 0)
                this->currentPolicy.removedQueues.emplace(name, known.settings);
        }
    });
    logConfigurationInForce(version, document, this->currentPolicy);
    this->needsPlan = true;
    return true;
}

/// Has the settings of the queues stored, before any later document can remove them.
void Controller::recordQueues()
{
    if (!this->leads || !this->isPolicyRead || this->policyVersion <= 0)
        return;
    const std::int64_t recorded =
        this->machine.read([](const WorkflowStore &store) { return store.queuesVersion(); });
    if (recorded >= this->policyVersion)
        return;
    this->queuesToStore = {this->policyVersion, this->currentPolicy.queues,
                           this->options.calendarMs()};
    this->flush();
}

void Controller::submit(WorkflowSpec spec, Done<CommandOutcome> done)
{
    spec.acceptedAtMs = this->options.calendarMs();
    const WorkflowId id = spec.id;
    const bool isStored =
        this->machine.read([id](const WorkflowStore &store) { return store.find(id) != nullptr; });
    const bool isCounted = this->leads && !isStored;
    if (isCounted)
        this->intake.accepted(spec, this->options.clock());
    ++this->accepting[id].submissions;
    this->enqueue(AcceptWorkflow{std::move(spec)},
                  [this, id, isCounted, ofTerm = this->term,
                   done = std::move(done)](const Result<CommandOutcome> &outcome) {
                      if (isCounted)
                          this->intake.settled(id, ofTerm, storeOutcomeOf(outcome),
                                               this->options.clock());
                      done(outcome);
                      this->submissionEnded(id);
                  });
}

void Controller::cancel(WorkflowId id, Done<CommandOutcome> done)
{
    const std::int64_t atMs = this->options.calendarMs();
    this->enqueue(CancelWorkflow{id, atMs},
                  [this, id, atMs, done = std::move(done)](const Result<CommandOutcome> &outcome) {
                      if (outcome && outcome.value() == CommandOutcome::Applied)
                          this->countFinished({id}, atMs);
                      if (outcome && outcome.value() != CommandOutcome::Rejected)
                          this->stopPlaced(id);
                      done(outcome);
                  });
}

void Controller::storeDocument(std::int64_t version, std::string text, Done<CommandOutcome> done)
{
    this->enqueue(StoreDocument{version, std::move(text)},
                  [this, done = std::move(done)](const Result<CommandOutcome> &outcome) {
                      if (outcome)
                          this->refreshPolicy();
                      done(outcome);
                  });
}

void Controller::confirmLeadership(Done<Nothing> done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    this->waitingBarriers.push_back(std::move(done));
    this->flush();
}

void Controller::enqueue(Command command, Done<CommandOutcome> done)
{
    if (!this->leads) {
        if (done)
            done(this->notLeading());
        return;
    }
    this->pending.push_back({std::move(command), std::move(done)});
    this->flush();
}

void Controller::enqueueSeparately(Command command, Done<CommandOutcome> done)
{
    if (!this->leads) {
        done(this->notLeading());
        return;
    }
    this->separate.push_back({std::move(command), std::move(done)});
    this->flush();
}

/// Runs after the actions that are queued on the loop already, so that commands that arrived
/// together share a batch.
void Controller::flush()
{
    if (this->isBatchPending || this->isFlushQueued || !this->leads)
        return;
    this->isFlushQueued = true;
    this->options.post([this, alive = this->alive] {
        if (*alive)
            this->flushNow();
    });
}

/// Proposes commands that have to be in a batch of their own, if there are any.
bool Controller::proposeAlone()
{
    std::vector<Pending> alone;
    if (this->queuesToStore)
        alone.push_back({*std::exchange(this->queuesToStore, std::nullopt), nullptr});
    else if (this->speedsToStore)
        alone.push_back({*std::exchange(this->speedsToStore, std::nullopt), nullptr});
    const bool isTurn = !this->wasSeparate || (this->pending.empty() && !this->needsPlan);
    this->wasSeparate = alone.empty() && !this->separate.empty() && isTurn;
    while (this->wasSeparate && !this->separate.empty() && alone.size() < maxSeparateCommands) {
        alone.push_back(std::move(this->separate.front()));
        this->separate.pop_front();
    }
    if (alone.empty())
        return false;
    this->propose(std::move(alone));
    return true;
}

void Controller::flushNow()
{
    this->isFlushQueued = false;
    if (this->isBatchPending || !this->leads)
        return;
    if (this->proposeAlone())
        return;
    std::vector<Pending> batch = std::exchange(this->pending, {});
    // Placements that did not fit into the last batch are not stored yet.
    const bool isRemainder = std::exchange(this->hasRemainder, false);
    if (this->needsPlan && !isRemainder)
        this->planInto(batch);
    if (!batch.empty() || !this->waitingBarriers.empty())
        this->propose(std::move(batch));
}

/// Makes the plan that is due, and adds its placements to \a batch.
///
/// Guards against urgent tasks that wait for the pause after a long plan: with thousands of waiting
/// steps a plan takes 50 ms and the pause 150 ms, a third of what an urgent task may lose.
void Controller::planInto(std::vector<Pending> &batch)
{
    const Instant began = this->options.clock();
    const auto pauseFrom = [began](Instant planned) {
        return planned + planPauseFactor * (planned - began);
    };
    if (began >= this->nextPlanAt) {
        this->needsPlan = false;
        this->plan(PlanScope::All, batch);
        this->nextPlanAt = pauseFrom(this->options.clock());
        return;
    }
    this->planLater();
    if (began < this->nextUrgentPlanAt)
        return;
    this->plan(PlanScope::MostUrgent, batch);
    this->nextUrgentPlanAt = pauseFrom(this->options.clock());
}

void Controller::planLater()
{
    if (std::exchange(this->isPlanQueued, true))
        return;
    this->options.runAfter(this->nextPlanAt - this->options.clock(), [this, alive = this->alive] {
        if (!*alive)
            return;
        this->isPlanQueued = false;
        this->flush();
    });
}

/// Encodes the commands of \a batch that one entry of the log holds, and returns the others to the
/// front of those that wait.
///
/// Guards against a batch that the log refuses as a whole: the ends of runs in it would be lost,
/// and their targets never polled again.
std::string Controller::encodeFitting(std::vector<Pending> &batch)
{
    CommandBatch commands;
    for (Pending &one : batch)
        commands.push_back(std::move(one.command));
    std::string text = encode(commands);
    while (text.size() > maxBatchBytes && commands.size() > 1) {
        const std::size_t kept = commands.size() / 2;
        std::vector<Pending> others;
        for (std::size_t i = kept; i < commands.size(); ++i)
            others.push_back({std::move(commands[i]), std::move(batch[i].done)});
        this->pending.insert(this->pending.begin(), std::make_move_iterator(others.begin()),
                             std::make_move_iterator(others.end()));
        this->hasRemainder = true;
        commands.resize(kept);
        batch.resize(kept);
        text = encode(commands);
    }
    for (std::size_t i = 0; i < commands.size(); ++i)
        batch[i].command = std::move(commands[i]);
    return text;
}

void Controller::propose(std::vector<Pending> batch)
{
    auto proposed = std::make_shared<Proposed>();
    proposed->term = this->term;
    proposed->at = this->options.clock();
    proposed->barriers = std::exchange(this->waitingBarriers, {});
    std::string text = this->encodeFitting(batch);
    for (Pending &one : batch) {
        const bool isPlacement = std::holds_alternative<PlaceRuns>(one.command);
        proposed->makesNoRoom.push_back(isPlacement
                                        || std::holds_alternative<RecordSpeeds>(one.command)
                                        || std::holds_alternative<RecordQueues>(one.command));
        proposed->done.push_back(std::move(one.done));
    }
    this->isBatchPending = true;
    this->log.propose(std::move(text),
                      [this, alive = this->alive, post = this->options.post,
                       proposed](Result<std::string> outcome) {
                          post([this, alive, proposed, outcome = std::move(outcome)] {
                              if (*alive)
                                  this->batchStored(*proposed, outcome);
                          });
                      });
}

void Controller::reportOutcomes(const Proposed &proposed, const Result<CommandOutcomes> &outcomes)
{
    for (std::size_t i = 0; i < proposed.done.size(); ++i) {
        if (!proposed.done[i])
            continue;
        if (!outcomes)
            proposed.done[i](outcomes.error());
        else
            proposed.done[i](outcomes.value()[i]);
    }
    for (const Done<Nothing> &barrier : proposed.barriers) {
        if (outcomes)
            barrier(Nothing{});
        else
            barrier(outcomes.error());
    }
}

void Controller::batchStored(const Proposed &proposed, const Result<std::string> &outcome)
{
    if (outcome) {
        this->metrics.stored(
            std::chrono::duration_cast<Milliseconds>(this->options.clock() - proposed.at));
    }
    const bool isOurTerm = this->leads && this->term == proposed.term;
    if (isOurTerm)
        this->isBatchPending = false;
    Result<CommandOutcomes> outcomes = failure(ErrorCode::Unavailable, "the batch was not stored");
    if (!outcome)
        outcomes = outcome.error();
    else
        outcomes = decode<CommandOutcomes>(outcome.value());
    if (outcomes && outcomes.value().size() != proposed.done.size())
        outcomes = failure(ErrorCode::Corrupt,
                           "the batch has a different number of outcomes than commands");
    if (outcome && !outcomes)
        outcomes.error().ran = Ran::Unknown; // the batch is stored
    reportOutcomes(proposed, outcomes);
    if (!isOurTerm)
        return;
    // The next plan depends on what has just been stored: accepted steps, and the resources and
    // steps that ended runs have released. Without this they would wait for the next tick.
    for (std::size_t i = 0; outcomes && i < proposed.done.size(); ++i) {
        this->needsPlan |=
            outcomes.value()[i] == CommandOutcome::Applied && !proposed.makesNoRoom[i];
    }
    if (!this->pending.empty() || !this->separate.empty() || !this->waitingBarriers.empty()
        || this->needsPlan)
        this->flush();
}

std::size_t Controller::usableTargets() const
{
    return static_cast<std::size_t>(std::count_if(
        this->incarnations.begin(), this->incarnations.end(),
        [](const auto &incarnation) { return incarnation.second.session->isAvailable(); }));
}

std::vector<OpenTarget> Controller::openTargets(const WorkflowStore &store) const
{
    const Instant now = this->options.clock();
    const std::size_t maxSuspended = this->incarnations.size() / targetsPerSuspension;
    const std::size_t maxOnTrial = this->incarnations.size() / targetsPerTrial;
    std::size_t suspended = 0;
    std::size_t onTrial = 0;
    std::vector<OpenTarget> open;
    for (const auto &[incarnation, session] : this->polled) {
        if (!session->isUsable())
            continue;
        const TargetTrust trust = this->health.trust(incarnation, now);
        if (trust == TargetTrust::Suspended && suspended++ < maxSuspended)
            continue;
        if (session->isOnTrial() && onTrial++ < maxOnTrial)
            continue;
        const IncarnationRecord *record = store.find(incarnation);
        if (record == nullptr || store.isSuperseded(incarnation) || !store.takesWork(*record))
            continue;
        const bool onProbation = trust == TargetTrust::Probation;
        if (onProbation && !record->placed.empty())
            continue;
        open.push_back({incarnation, &record->identity, record->identity.capacity - record->used,
                        onProbation && !this->health.hasProbationExpired(incarnation, now),
                        session->isCold(), record->placed.size(), this->logSlownessOf(incarnation),
                        this->speeds.isWorthExploring(incarnation)});
    }
    return open;
}

void Controller::plan(PlanScope scope, std::vector<Pending> &batch)
{
    const Plan made = this->machine.read([&](const WorkflowStore &store) {
        PlanInput input{
            store,
            this->currentPolicy,
            this->admissions,
            this->claims,
            this->openTargets(store),
            this->options.clock(),
            this->options.calendarMs(),
            &this->admittedFractions,
            this->admissionPort.querierCount(),
            this->openQueries,
            [this](Milliseconds expected) { return this->admissionPort.reserve(expected); },
            scope};
        if (this->options.mechanisms.has(Mechanism::Shares))
            input.accountUse = &this->accountUse;
        input.weighsSpeeds = this->options.mechanisms.has(Mechanism::Speeds);
        return makePlan(input);
    });
    if (scope == PlanScope::All) {
        this->intake.planned(made.summary.queues, made.summary.free[ResourceKind::MilliCores],
                             acceptedIn(batch), this->options.clock());
    } else {
        this->intake.started(made.summary.queues, this->options.clock());
    }
    for (const PlaceRuns &command : made.placements) {
        batch.push_back({command, [this, command](const Result<CommandOutcome> &outcome) {
                             if (outcome)
                                 this->placed(command, outcome.value());
                         }});
    }
    for (const AdmissionQuery &query : made.queries)
        this->sendQuery(query);
    if (scope != PlanScope::All) {
        if (made.shares != nullptr)
            this->accountUse.addQueries(made.shares->accountLoads());
        return;
    }
    this->adjustWorkingSet(made);
    const Instant now = this->options.clock();
    this->waits.planned(made.waiting, now);
    this->shares = made.shares;
    if (this->shares != nullptr) {
        this->accountUse.observe(this->shares->accountLoads(), made.summary.queriesExhaustedFrom,
                                 now);
    }
    this->logPlanAtIntervals(made.summary);
}

void Controller::logPlanAtIntervals(const PlanSummary &summary)
{
    const Instant now = this->options.clock();
    if (now < this->nextPlanLog)
        return;
    this->nextPlanLog = now + planLogInterval;
    if (this->shares != nullptr)
        logBeyondShare(this->shares->mostBeyondShare(maxAccountsInLog));
    const std::size_t live =
        this->machine.read([](const WorkflowStore &store) { return store.live().size(); });
    logPlan(summary, this->openQueries, live, this->resting.size());
}

/// Sends the start orders of a placement that has been stored.
void Controller::placed(const PlaceRuns &command, CommandOutcome outcome)
{
    if (outcome != CommandOutcome::Applied || !this->leads) {
        logPlacementRejected(command, outcome);
        return;
    }
    StartOrder order;
    order.run = command.run;
    std::vector<std::string> checkpoints(command.placements.size());
    std::vector<bool> isTrial(command.placements.size());
    bool mayWait = true; ///< until a run that may start late is settled
    std::string queue;
    std::string account;
    std::int64_t ageMs = 0;
    std::uint32_t estimatedMs = 0;
    const bool isKnown = this->machine.read([&](const WorkflowStore &store) {
        const Workflow *workflow = store.find(command.step.workflow);
        // A controller that has lost leadership without noticing, for example after its disk
        // stalled, may learn of its placement when a later controller has already finished the
        // workflow.
        if (workflow == nullptr || workflow->occurrences.empty())
            return false;
        order.payload = workflow->spec.payload;
        queue = workflow->spec.queue;
        if (const QueuePolicy *policy = this->currentPolicy.queue(queue))
            order.priority = policy->priority;
        account = workflow->spec.account;
        ageMs = this->options.calendarMs() - workflow->spec.dueAtMs(command.step.occurrence);
        this->countFirstStart(command, store);
        const StepProgress &progress = workflow->step(command.step);
        std::string shared;
        for (const TaskProgress &task : progress.tasks)
            shared = shared.empty() ? task.checkpoint : shared;
        const bool isGang = workflow->spec.steps[command.step.step].gang;
        estimatedMs = workflow->spec.steps[command.step.step].estimatedMs;
        mayWait = !workflow->spec.steps[command.step.step].longRunning;
        for (std::size_t i = 0; i < command.placements.size(); ++i) {
            isTrial[i] = store.losses().isSuspect({command.step, command.placements[i].index});
            checkpoints[i] =
                isGang ? shared : progress.tasks[command.placements[i].index].checkpoint;
        }
        return true;
    });
    if (!isKnown)
        return;
    logPlaced(command, queue, account, this->policyVersion, ageMs,
              this->waits.times(command.step, this->options.clock()), estimatedMs);
    const auto admitted = this->admissions.find(command.step);
    for (std::size_t i = 0; i < command.placements.size(); ++i) {
        const Placement &placement = command.placements[i];
        const auto incarnation = this->incarnations.find(placement.incarnation);
        if (incarnation == this->incarnations.end())
            continue; // the incarnation has ended in the meantime, with all runs placed there
        order.task = {command.step, placement.index};
        if (incarnation->second.session->isOver()) {
            this->neverStarted(placement.incarnation, order.task, command.run);
            continue;
        }
        order.checkpoint = checkpoints[i];
        if (admitted != this->admissions.end()) {
            const auto ticket = admitted->second.admitted.find(placement.incarnation);
            if (ticket != admitted->second.admitted.end())
                order.ticket = ticket->second.ticket;
        }
        incarnation->second.session->start(order, isTrial[i], mayWait);
    }
}

void Controller::tick(std::uint64_t inTerm)
{
    if (!this->leads || this->term != inTerm)
        return;
    const ScopeExit next([this, inTerm] {
        this->options.runAfter(this->options.tick, [this, alive = this->alive, inTerm] {
            if (*alive)
                this->tick(inTerm);
        });
    });
    const Instant now = this->options.clock();
    this->lag = std::max(Microseconds(0), now - this->nextTickAt);
    this->nextTickAt = now + this->options.tick;
    if (this->lag > loopLagLogThreshold)
        logLoopLag(std::chrono::duration_cast<Milliseconds>(this->lag));
    std::vector<std::shared_ptr<TargetSession>> all; // sessions that end are removed from the table
    all.reserve(this->polled.size());
    for (const auto &[incarnation, session] : this->polled)
        all.push_back(session);
    for (const auto &session : all)
        session->tick();
    this->startNextResting();
    this->stopIncompleteGangs();
    this->forgetOld();
    this->reportIntake();
    this->refreshSpeeds();
    this->recordQueues();
    this->needsPlan = true; // tasks become due and queries have to be repeated as time passes
    this->flush();
}

} // namespace guavavalve::workflows
