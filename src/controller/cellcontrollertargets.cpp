#include "controller/cellcontroller.h"

#include "controller/clusterstatemachine.h"
#include "controller/jobdescription.h"
#include "replicas/replicatedlog.h"

#include <algorithm>
#include <memory>

namespace guavavalve {

bool CellController::needsRegistration(const Announcement &announcement) const
{
    return this->state.read([&](const ClusterState &cluster) {
        const TargetRecord *known = cluster.targetNamed(announcement.name);
        return known == nullptr || known->incarnation != announcement.incarnation || known->lapsed
            || known->address != announcement.address || known->total != announcement.total
            || known->departing != announcement.departing || known->rack != announcement.rack
            || known->failureDomain != announcement.failureDomain;
    });
}

RegisterTarget CellController::registration(const Announcement &announcement) const
{
    RegisterTarget command;
    command.name = announcement.name;
    command.incarnation = announcement.incarnation;
    command.address = announcement.address;
    command.failureDomain = announcement.failureDomain;
    command.rack = announcement.rack;
    command.total = announcement.total;
    command.departing = announcement.departing;
    return command;
}

void CellController::acceptAnnouncements(std::vector<Announcement> announcements,
                                         const Done<std::vector<AnnouncementReply>> &done)
{
    // The replies are sent together, once every registration among them is committed.
    struct Gathered
    {
        std::vector<Announcement> announcements;
        std::size_t outstanding = 1;
        Done<std::vector<AnnouncementReply>> done;
    };
    auto gathered = std::make_shared<Gathered>();
    gathered->announcements = std::move(announcements);
    gathered->done = done;
    const auto finishOne = [this, gathered] {
        if (--gathered->outstanding > 0)
            return;
        if (!this->leading || !this->log.holdsLeaderLease()) {
            gathered->done(this->notLeader());
            return;
        }
        std::vector<AnnouncementReply> replies;
        for (const Announcement &announcement : gathered->announcements)
            replies.push_back(this->renewLease(announcement));
        gathered->done(std::move(replies));
    };
    for (const Announcement &announcement : gathered->announcements) {
        if (!this->needsRegistration(announcement))
            continue;
        ++gathered->outstanding;
        const std::vector<TaskId> before = this->state.read([&](const ClusterState &cluster) {
            const TargetRecord *known = cluster.targetNamed(announcement.name);
            return known == nullptr ? std::vector<TaskId>() : known->tasks;
        });
        this->enqueue(this->registration(announcement),
                      [this, before, name = announcement.name,
                       finishOne](const Result<CommandValue> &outcome) {
                          if (outcome && this->leading)
                              this->targetRegistered(name, before);
                          finishOne();
                      });
    }
    finishOne();
}

void CellController::targetRegistered(const std::string &name, const std::vector<TaskId> &before)
{
    const Instant now = this->options.clock();
    TargetInfo info;
    const bool known = this->state.read([&](const ClusterState &cluster) {
        const TargetRecord *target = cluster.targetNamed(name);
        if (target == nullptr)
            return false;
        info = this->feed.targetInfo(*target);
        return true;
    });
    if (!known)
        return;
    this->scheduler->targetChanged(info, now);
    this->releaseTasks(before);
    this->retryRefusedTasks();
}

AnnouncementReply CellController::renewLease(const Announcement &announcement)
{
    AnnouncementReply reply;
    Milliseconds margin{0};
    this->state.read([&](const ClusterState &cluster) {
        const TargetRecord *target = cluster.targetNamed(announcement.name);
        if (target == nullptr || target->lapsed
            || target->incarnation != announcement.incarnation) {
            return; // no lease: the target has to register with a new incarnation
        }
        const CellSection &cell = cluster.configuration().cell();
        reply.target = target->id;
        reply.leaseMs = cell.targetLeaseMs;
        margin = Milliseconds(cell.driftMarginMs);
        for (const AttemptId &attempt : announcement.running) {
            const TaskRecord *task = cluster.task(attempt.task);
            const bool current = task != nullptr && task->state == TaskState::Placed
                && task->target == target->id && task->attempt == attempt.attempt;
            if (!current)
                reply.revoke.push_back(attempt);
        }
    });
    if (reply.leaseMs > 0) {
        const Instant now = this->options.clock();
        this->leases.renew(reply.target, now + Milliseconds(reply.leaseMs) + margin);
        this->markResponsive(reply.target, now);
    }
    return reply;
}

void CellController::markResponsive(TargetId target, Instant now)
{
    this->heartbeatDeadlines.renew(target, now + this->options.targetUnresponsiveAfter);
    if (this->unresponsiveTargets.erase(target) == 0)
        return;
    const TargetInfo info = this->state.read([&](const ClusterState &cluster) {
        return this->feed.targetInfo(*cluster.target(target));
    });
    this->scheduler->targetChanged(info, now);
}

/// Stops placing tasks on targets that no longer send announcements, before their leases expire.
/// Leases have to outlast a change of controller, or every such change would end all tasks of the
/// fleet; that is too long to keep sending prompt requests to an unresponsive target.
void CellController::markUnresponsiveTargets(Instant now)
{
    for (const TargetId id : this->heartbeatDeadlines.takeLapsed(now)) {
        TargetInfo info;
        const bool isRegistered = this->state.read([&](const ClusterState &cluster) {
            const TargetRecord *target = cluster.target(id);
            if (target == nullptr || target->lapsed)
                return false;
            info = this->feed.targetInfo(*target);
            return true;
        });
        if (!isRegistered)
            continue;
        info.departing = true;
        this->unresponsiveTargets.insert(id);
        this->scheduler->targetChanged(info, now);
    }
}

void CellController::lapseTargets(Instant now)
{
    for (const TargetId id : this->leases.takeLapsed(now)) {
        LapseTarget command;
        command.target = id;
        std::vector<TaskId> tasks;
        const bool known = this->state.read([&](const ClusterState &cluster) {
            const TargetRecord *target = cluster.target(id);
            if (target == nullptr)
                return false;
            command.incarnation = target->incarnation;
            tasks = target->tasks;
            return true;
        });
        if (!known)
            continue;
        this->unresponsiveTargets.erase(id);
        this->scheduler->targetLost(id, now);
        this->enqueue(command, [this, tasks](const Result<CommandValue> &outcome) {
            if (outcome && this->leading)
                this->releaseTasks(tasks);
        });
    }
}

void CellController::releaseTasks(const std::vector<TaskId> &tasks)
{
    for (const TaskId task : tasks)
        this->handleAttemptEnd(task, AttemptOutcome::Lost);
}

void CellController::reassignAttemptsOf(const InstanceId &entry)
{
    const Instant now = this->options.clock();
    std::vector<ReassignDispatcher> commands;
    this->state.read([&](const ClusterState &cluster) {
        for (const auto &[id, job] : cluster.jobs()) {
            if (job.finished())
                continue;
            for (std::size_t i = 0; i < job.tasks.size(); ++i) {
                const TaskRecord &task = job.tasks[i];
                if (task.state != TaskState::Placed || task.dispatcher != entry)
                    continue;
                ReassignDispatcher command;
                command.task = job.taskId(i);
                command.attempt = task.attempt;
                command.entry = this->entryTable.pick({}, now);
                commands.push_back(command);
            }
        }
    });
    for (ReassignDispatcher &command : commands) {
        if (command.entry.empty()) {
            // No entry is left to follow the attempts. They are assigned again after another
            // timeout, to an entry that is alive by then.
            this->entryTable.expectHeartbeat(entry, now + this->options.entryTimeout);
            return;
        }
        this->enqueue(command, [this, command](const Result<CommandValue> &outcome) {
            if (!outcome || !this->leading)
                return;
            this->state.read([&](const ClusterState &cluster) {
                const JobRecord *job = cluster.jobOf(command.task);
                if (job == nullptr)
                    return;
                const DispatchAction action =
                    job->cancelled ? DispatchAction::Stop : DispatchAction::Follow;
                this->outbox.put(command.entry,
                                 describeOrder(cluster, *job, job->position(command.task), action),
                                 this->options.clock());
            });
        });
    }
}

} // namespace guavavalve
