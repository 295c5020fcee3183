#pragma once

#include "state/commandbatch.h"
#include "state/commandoutcome.h"
#include "state/configuration.h"
#include "state/jobrecord.h"
#include "state/requestlog.h"
#include "state/targetrecord.h"
#include "state/teamrecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve {

/// The replicated state of one shard. Pure: no I/O, no clock, no chance; the same commands in
/// the same order give the same state, and the same snapshot byte for byte.
///
/// Each command is checked again when it is applied, so what a deposed controller decided on old
/// knowledge is rejected and cannot break an invariant. A rejected command changes nothing.
class ClusterState
{
public:
    /// The state of replica group \a shard, empty.
    explicit ClusterState(std::uint8_t shard = 0);

    /// Applies the commands of \a batch in order; one outcome each.
    std::vector<CommandOutcome> apply(const CommandBatch &batch);
    CommandOutcome apply(const Command &command);

    std::uint8_t shard() const { return this->shardNumber; }
    /// The identity that the next job must take. Its top 8 bits are the shard.
    TaskId nextTask() const { return this->next; }

    const Configuration &configuration() const { return this->document; }
    const std::map<JobId, JobRecord> &jobs() const { return this->jobTable; }
    const std::map<TargetId, TargetRecord> &targets() const { return this->targetTable; }
    const std::map<TeamId, TeamRecord> &teams() const { return this->teamTable; }
    /// Failure domains whose targets receive no new work.
    const std::set<std::string> &evacuatedDomains() const { return this->evacuated; }

    /// Each of these gives null if there is no such record.
    const JobRecord *job(JobId id) const;
    const JobRecord *jobOf(TaskId task) const;
    const TaskRecord *task(TaskId id) const;
    const TargetRecord *target(TargetId id) const;
    const TargetRecord *targetNamed(const std::string &name) const;
    const TeamRecord *team(TeamId id) const;
    const TeamRecord *teamNamed(const std::string &name) const;
    /// The job that \a team has accepted under \a idempotencyKey.
    const JobRecord *jobByIdempotencyKey(TeamId team, const std::string &idempotencyKey) const;

    /// The most that \a team may have running: its configured limit.
    Resources limitOf(TeamId team) const;

    /// The state as bytes, versioned and checksummed.
    std::string snapshot() const;

    /// Counts everything anew from the tasks and compares: room used, what teams run and have
    /// waiting, what is placed where.
    /// \errors Corrupt, naming the first count that differs. Cost: once through all records.
    Result<void> recount() const;

    /// Replaces the state by that of \a bytes.
    /// \errors Corrupt if they are not a whole snapshot of this shard and format; the state is
    /// then left as it was.
    Result<void> restore(const std::string &bytes);

private:
    CommandOutcome applyOne(const GrantKey &command);
    CommandOutcome applyOne(const WithdrawKey &command);
    CommandOutcome applyOne(const WriteSection &command);
    CommandOutcome applyOne(const RegisterTarget &command);
    CommandOutcome applyOne(const LapseTarget &command);
    CommandOutcome applyOne(const RetireTarget &command);
    CommandOutcome applyOne(const SetTargetDraining &command);
    CommandOutcome applyOne(const SetDomainEvacuated &command);
    CommandOutcome applyOne(const AcceptJob &command);
    CommandOutcome applyOne(const PlaceTask &command);
    CommandOutcome applyOne(const PlaceGang &command);
    CommandOutcome applyOne(const EndAttempt &command);
    CommandOutcome applyOne(const ReassignDispatcher &command);
    CommandOutcome applyOne(const CancelJob &command);
    CommandOutcome applyOne(const ForgetJobs &command);
    CommandOutcome applyOne(const RefuseJob &command);

    /// Room that earlier places of the same gang have taken in thought.
    struct Taken
    {
        std::map<TargetId, Resources> onTargets;
        Resources byTeam;
    };

    template<typename OperatorCommand, typename Change>
    CommandOutcome once(const OperatorCommand &command, const std::string &summary, Change change);
    Result<void> checkJob(const AcceptJob &command) const;
    Result<void> checkWaiting(const AcceptJob &command, const TeamRecord &team) const;
    Result<void> checkPlace(const PlaceTask &place, const JobRecord &job, const Taken &taken) const;
    Result<void> checkRoom(const PlaceTask &place, const JobRecord &job, const Taken &taken) const;
    Result<void> checkGang(const PlaceGang &command) const;
    void place(const PlaceTask &place, JobRecord &job);
    void unplace(JobRecord &job, TaskId id);
    void endAttempt(JobRecord &job, const EndAttempt &end);
    void takeLateAnswer(JobRecord &job, const EndAttempt &end);
    void settle(JobRecord &job, TaskId id, AttemptOutcome outcome, std::int64_t at);
    bool isLostTooOften(const JobRecord &job, TaskId id);
    void finishTask(JobRecord &job, TaskRecord &task, TaskState state, std::int64_t at);
    void cancelWaiting(JobRecord &job, std::int64_t at);
    void loseAttempts(TargetRecord &target, const std::string &reason);
    JobRecord *findJobOf(TaskId task);
    TargetRecord *findTarget(TargetId id);
    void indexRecords();

    template<typename Archive>
    void serializeRecords(Archive &archive, std::uint16_t format);

    std::uint8_t shardNumber;
    TaskId next;
    TargetId nextTarget{1};
    Configuration document;
    RequestLog requests;
    std::map<JobId, JobRecord> jobTable;
    std::map<TargetId, TargetRecord> targetTable;
    std::map<TeamId, TeamRecord> teamTable;
    std::set<std::string> evacuated; ///< failure domains
    /// Of tasks of unfinished jobs: attempts that were lost with their targets.
    std::map<TaskId, std::uint16_t> lostAttempts;
    // Found again from the tables by indexRecords().
    std::map<std::string, TargetId> targetsByName;
    std::map<std::string, TeamId> teamsByName;
    std::map<std::pair<TeamId, std::string>, JobId> jobsByKey;
};

} // namespace guavavalve
