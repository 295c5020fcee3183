#include "controller/cellcontroller.h"

#include "controller/clusterstatemachine.h"
#include "controller/jobdescription.h"
#include "replicas/replicatedlog.h"

#include <algorithm>
#include <cassert>
#include <future>
#include <memory>
#include <utility>

namespace guavavalve {

namespace {

// Interval between checks for expired leases and waiters, dead entries and old jobs.
constexpr Milliseconds sweepInterval{50};

} // namespace

CellController::CellController(ControllerOptions options, ReplicatedLog &log,
                               ClusterStateMachine &state)
    : options(std::move(options))
    , log(log)
    , state(state)
    , loop({[this] { this->roundEnded(); }, [this] { return this->nextWakeup(); }},
           this->options.maxWaitingEvents)
    , pipeline(log, this->options.shard,
               [this](std::function<void()> event) { this->loop.post(std::move(event)); })
{
    assert(this->options.makeScheduler && "set ControllerOptions::makeScheduler");
    assert(this->options.cellTime && "set ControllerOptions::cellTime");
    assert(this->options.sendOrders && "set ControllerOptions::sendOrders");
}

CellController::~CellController()
{
    this->stop();
}

void CellController::start()
{
    this->loop.start();
}

void CellController::stop()
{
    this->loop.stop();
}

template<typename T>
void CellController::post(Done<T> done, std::function<void(const Done<T> &)> action)
{
    const auto shared = std::make_shared<Done<T>>(std::move(done));
    const bool posted = this->loop.tryPost([this, shared, action = std::move(action)] {
        if (this->leading)
            action(*shared);
        else
            (*shared)(this->notLeader());
    });
    if (!posted) {
        Error full = failure(ErrorCode::Unavailable, "the controller's queue is full");
        full.retryAfter = Milliseconds(500);
        (*shared)(full);
    }
}

void CellController::leadershipChanged(bool leads)
{
    this->loop.post([this, leads] {
        if (this->leading)
            this->loseLeadership();
        if (leads)
            this->becomeLeader();
    });
}

void CellController::submit(SubmitRequest request, Done<SubmitReply> done)
{
    this->post<SubmitReply>(std::move(done),
                            [this, request = std::move(request)](const Done<SubmitReply> &reply) {
                                this->accept(request, reply);
                            });
}

void CellController::attemptEnded(AttemptEnd end, Done<Nothing> done)
{
    this->post<Nothing>(std::move(done), [this, end = std::move(end)](const Done<Nothing> &reply) {
        this->recordEnd(end, reply);
    });
}

void CellController::jobStatus(std::string team, JobId job, bool awaitEnd, Instant deadline,
                               Done<JobStatus> done)
{
    this->post<JobStatus>(
        std::move(done),
        [this, team = std::move(team), job, awaitEnd, deadline](const Done<JobStatus> &reply) {
            Result<JobStatus> status = this->statusOf(team, job);
            if (awaitEnd && status && !status.value().finished)
                this->waiters.add(job, deadline, reply);
            else
                reply(std::move(status));
        });
}

void CellController::cancelJob(std::string team, JobId job, Done<JobStatus> done)
{
    this->post<JobStatus>(std::move(done),
                          [this, team = std::move(team), job](const Done<JobStatus> &reply) {
                              this->cancel(team, job, reply);
                          });
}

void CellController::announce(std::vector<Announcement> announcements,
                              Done<std::vector<AnnouncementReply>> done)
{
    this->post<std::vector<AnnouncementReply>>(
        std::move(done),
        [this, announcements = std::move(announcements)](
            const Done<std::vector<AnnouncementReply>> &reply) {
            this->acceptAnnouncements(announcements, reply);
        });
}

void CellController::synchronise(SyncRequest request, Done<SyncReply> done)
{
    this->post<SyncReply>(std::move(done),
                          [this, request = std::move(request)](const Done<SyncReply> &reply) {
                              const Instant now = this->options.clock();
                              this->holdSync({request, now + Milliseconds(request.waitMs), reply});
                          });
}

void CellController::propose(Command command, Done<CommandValue> done)
{
    this->post<CommandValue>(
        std::move(done), [this, command = std::move(command)](const Done<CommandValue> &reply) {
            this->enqueue(command, [this, command, reply](const Result<CommandValue> &outcome) {
                if (outcome)
                    this->updateClosedTargets(command);
                reply(outcome);
            });
        });
}

/// Tells the scheduler which targets an operator has closed to new tasks or reopened.
void CellController::updateClosedTargets(const Command &command)
{
    const auto *drain = std::get_if<SetTargetDraining>(&command);
    const auto *evacuate = std::get_if<SetDomainEvacuated>(&command);
    if ((drain == nullptr && evacuate == nullptr) || !this->scheduler)
        return;
    std::vector<TargetInfo> changed;
    this->state.read([&](const ClusterState &cluster) {
        for (const auto &[id, target] : cluster.targets()) {
            const bool isAffected = drain != nullptr
                ? id == drain->target
                : target.failureDomain == evacuate->failureDomain;
            if (isAffected)
                changed.push_back(this->feed.targetInfo(target));
        }
    });
    for (const TargetInfo &info : changed)
        this->scheduler->targetChanged(info, this->options.clock());
}

Explanation CellController::explain(TaskId task)
{
    Explanation explanation;
    this->runOnLoop([this, task, &explanation] {
        if (this->scheduler)
            explanation = this->scheduler->explain(task);
    });
    return explanation;
}

Statistics CellController::statistics()
{
    Statistics statistics;
    this->runOnLoop([this, &statistics] {
        if (this->scheduler)
            statistics = this->scheduler->statistics();
    });
    return statistics;
}

void CellController::runOnLoop(const std::function<void()> &action)
{
    if (this->loop.isCurrentThread()) {
        action();
        return;
    }
    std::promise<void> finished;
    this->loop.post([&action, &finished] {
        action();
        finished.set_value();
    });
    finished.get_future().wait();
}

TimePair CellController::time() const
{
    return {this->options.clock(), this->options.cellTime()};
}

Error CellController::notLeader() const
{
    return failure(ErrorCode::NotLeader, this->log.status().leaderAddress);
}

void CellController::enqueue(Command command, Done<CommandValue> done)
{
    // After a change of leadership there is a new scheduler, which must not see outcomes of an
    // earlier term. loseLeadership() has already answered the requests that waited for them.
    const std::shared_ptr<bool> current = this->termActive;
    this->pipeline.add(
        std::move(command), [current, done = std::move(done)](Result<CommandValue> outcome) {
            if (!*current && outcome) {
                Error lost = failure(ErrorCode::Unavailable,
                                     "leadership was lost before the outcome was known");
                lost.ran = Ran::Unknown;
                outcome = lost;
            }
            done(std::move(outcome));
        });
}

void CellController::becomeLeader()
{
    const TimePair now = this->time();
    this->leading = true;
    this->termActive = std::make_shared<bool>(true);
    this->scheduler = this->options.makeScheduler();
    const Instant entryDeadline = now.now + this->options.entryTimeout;
    this->state.read([&](const ClusterState &cluster) {
        this->refusedTasks = this->feed.rebuild(*this->scheduler, cluster, now);
        this->policyVersion = cluster.configuration().version();
        this->nextTaskValue = idValue(cluster.nextTask());
        this->restoreLeasesAndOrders(cluster, now, entryDeadline);
    });
    this->retryRefusedTasks();
}

void CellController::restoreLeasesAndOrders(const ClusterState &cluster, const TimePair &time,
                                            Instant entryDeadline)
{
    const Instant now = time.now;
    // A new controller does not know which leases its predecessor granted, so every lease is
    // counted from this election with the longest duration that the predecessor may have granted.
    const Milliseconds lease(cluster.configuration().longestTargetLeaseMs());
    for (const auto &[id, target] : cluster.targets()) {
        if (target.lapsed)
            continue;
        this->leases.renew(id, now + lease);
        this->heartbeatDeadlines.renew(id, now + this->options.targetUnresponsiveAfter);
    }
    for (const auto &[id, job] : cluster.jobs()) {
        if (job.finished()) {
            this->finishedJobs.emplace_back(now + this->options.finishedRetention, id);
            this->reportedJobs.insert(id);
            continue;
        }
        if (job.finishBy != 0)
            this->finishDeadlines.emplace(time.deadline(job.finishBy), id);
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            const TaskRecord &task = job.tasks[i];
            if (task.state != TaskState::Placed)
                continue;
            this->entryTable.expectHeartbeat(task.dispatcher, entryDeadline);
            // It is not known whether the predecessor's order reached the entry. An entry that does
            // not know the attempt asks the target whether it has started.
            const DispatchAction action =
                job.cancelled ? DispatchAction::Stop : DispatchAction::Follow;
            this->outbox.put(task.dispatcher, describeOrder(cluster, job, i, action), now);
        }
    }
}

void CellController::loseLeadership()
{
    this->leading = false;
    *this->termActive = false;
    this->scheduler.reset();
    this->leases.clear();
    this->heartbeatDeadlines.clear();
    this->unresponsiveTargets.clear();
    this->outbox.clear();
    this->entryTable.clear();
    this->refusedTasks.clear();
    this->finishedJobs.clear();
    this->reportedJobs.clear();
    this->finishDeadlines.clear();
    this->wakeup = Instant::max();

    const Error error = this->notLeader();
    auto pending = std::move(this->submits);
    this->submits.clear();
    this->submitsByJob.clear();
    this->startedByReply.clear();
    for (auto &[key, submit] : pending) {
        Error unknown = error;
        unknown.ran = Ran::Unknown;
        for (const auto &done : submit.waiting)
            done(unknown);
    }
    for (auto &[job, waiter] : this->waiters.takeAll())
        waiter.done(error);
    auto held = std::move(this->syncs);
    this->syncs.clear();
    for (HeldSync &sync : held)
        sync.done(error);
}

void CellController::roundEnded()
{
    if (!this->leading)
        return;
    const Instant now = this->options.clock();
    if (now >= this->nextSweep) {
        this->nextSweep = now + sweepInterval;
        this->sweep(now);
    }
    this->refreshPolicy();
    this->decide();
    this->pipeline.flush();
    this->sendDueOrders(now);
    this->wakeup = this->scheduler->nextWakeup();
}

void CellController::sweep(Instant now)
{
    this->markUnresponsiveTargets(now);
    this->lapseTargets(now);
    for (const InstanceId &entry : this->entryTable.takeDead(now))
        this->reassignAttemptsOf(entry);
    for (auto &[job, waiter] : this->waiters.takeExpired(now))
        waiter.done(this->statusOf({}, job));
    this->answerSyncs();
    this->cancelOverdueJobs(now);
    this->forgetOldJobs(now);
}

Instant CellController::nextWakeup() const
{
    if (!this->leading)
        return Instant::max();
    return std::min({this->wakeup, this->nextSweep, this->outbox.nextSend()});
}

Result<JobStatus> CellController::statusOf(const std::string &team, JobId job) const
{
    if (!this->log.holdsLeaderLease())
        return failure(ErrorCode::Unavailable, "the controller currently has no quorum");
    return this->state.read([&](const ClusterState &cluster) -> Result<JobStatus> {
        const JobRecord *record = cluster.job(job);
        const TeamRecord *owner = record == nullptr ? nullptr : cluster.team(record->team);
        if (owner == nullptr || (!team.empty() && owner->name != team)) {
            return failure(ErrorCode::NotFound,
                           "this team has no such job; finished jobs are removed after the "
                           "retention time");
        }
        return describeJob(cluster, *record);
    });
}

void CellController::jobChanged(JobId job)
{
    const Result<JobStatus> status = this->statusOf({}, job);
    if (!status || !status.value().finished)
        return;
    for (const JobWaiters::Waiter &waiter : this->waiters.take(job))
        waiter.done(status.value());
    // An end is reported repeatedly until the entry learns that it is committed, and several tasks
    // of a job may end in one round, so a finished job can reach this point more than once. Its
    // waiting time must be counted once.
    if (!this->reportedJobs.insert(job).second)
        return;
    this->finishedJobs.emplace_back(this->options.clock() + this->options.finishedRetention, job);
    if (this->options.observeWait) {
        this->options.observeWait(status.value().team,
                                  static_cast<std::uint8_t>(status.value().workClass),
                                  static_cast<double>(status.value().waitedMs) / 1000.0);
    }
}

void CellController::forgetOldJobs(Instant now)
{
    constexpr std::size_t maxJobsPerCommand = 1000;
    ForgetJobs command;
    const auto isDue = [&] {
        return this->finishedJobs.size() > this->options.maxFinishedJobs
            || (!this->finishedJobs.empty() && this->finishedJobs.front().first <= now);
    };
    while (isDue() && command.jobs.size() < maxJobsPerCommand) {
        command.jobs.push_back(this->finishedJobs.front().second);
        this->reportedJobs.erase(this->finishedJobs.front().second);
        this->finishedJobs.pop_front();
    }
    if (!command.jobs.empty())
        this->enqueue(std::move(command), [](const Result<CommandValue> &) {});
}

} // namespace guavavalve
