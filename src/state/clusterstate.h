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

/// The replicated state machine of one shard; each shard has its own replica group. Deterministic:
/// it uses no I/O, clock or random numbers, so the same commands in the same order yield the same
/// state and a byte-identical snapshot.
///
/// Every command is validated again when it is applied, so a decision that a deposed controller
/// made on stale state is rejected and cannot break an invariant. A rejected command has no effect
/// beyond its recorded outcome.
class ClusterState
{
public:
    /// Constructs the empty state of replica group \a shard.
    explicit ClusterState(std::uint8_t shard = 0);

    /// Applies the commands of \a batch in order and returns one outcome per command.
    std::vector<CommandOutcome> apply(const CommandBatch &batch);
    CommandOutcome apply(const Command &command);

    std::uint8_t shard() const { return this->shardNumber; }
    /// The lowest ID that the next job may use. Its top 8 bits are the shard.
    TaskId nextTask() const { return this->nextTaskId; }

    const Configuration &configuration() const { return this->document; }
    const std::map<JobId, JobRecord> &jobs() const { return this->jobTable; }
    const std::map<TargetId, TargetRecord> &targets() const { return this->targetTable; }
    const std::map<TeamId, TeamRecord> &teams() const { return this->teamTable; }
    /// Failure domains whose targets receive no new work.
    const std::set<std::string> &evacuatedDomains() const { return this->evacuated; }

    /// Each of these returns null if there is no such record.
    const JobRecord *job(JobId id) const;
    const JobRecord *jobOf(TaskId task) const;
    const TaskRecord *task(TaskId id) const;
    const TargetRecord *target(TargetId id) const;
    const TargetRecord *targetNamed(const std::string &name) const;
    const TeamRecord *team(TeamId id) const;
    const TeamRecord *teamNamed(const std::string &name) const;
    /// The job that was accepted from \a team under \a idempotencyKey.
    const JobRecord *jobByIdempotencyKey(TeamId team, const std::string &idempotencyKey) const;

    /// The configured upper limit on the resources that \a team's placed tasks hold.
    Resources limitOf(TeamId team) const;

    /// Serialises the state, with a format version and a checksum.
    std::string snapshot() const;

    /// Recomputes the derived totals from the tasks and compares them with the stored ones:
    /// resources in use, running and waiting tasks per team, and tasks per target.
    /// \errors Corrupt, naming the first total that differs. Cost: one pass over all records.
    Result<void> verifyCounts() const;

    /// Replaces the state with the one in \a bytes.
    /// \errors Corrupt if they are not a complete snapshot of this shard in a supported format;
    /// the state is then unchanged.
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

    /// Resources needed by the placements of a gang that have been checked but not yet applied.
    struct PendingResources
    {
        std::map<TargetId, Resources> byTarget;
        Resources byTeam;
    };

    template<typename OperatorCommand, typename Change>
    CommandOutcome applyOnce(const OperatorCommand &command, const std::string &summary,
                             Change change);
    Result<void> checkJob(const AcceptJob &command) const;
    Result<void> checkTeamPolicy(const AcceptJob &command, const TeamRecord &team) const;
    Result<void> checkPlacement(const PlaceTask &place, const JobRecord &job,
                                const PendingResources &pending) const;
    Result<void> checkResources(const PlaceTask &place, const JobRecord &job,
                                const PendingResources &pending) const;
    Result<void> checkGang(const PlaceGang &command) const;
    void applyPlacement(const PlaceTask &place, JobRecord &job);
    void releasePlacement(JobRecord &job, TaskId id);
    void endAttempt(JobRecord &job, const EndAttempt &end);
    void recordLateAnswer(JobRecord &job, const EndAttempt &end);
    void applyOutcome(JobRecord &job, TaskId id, AttemptOutcome outcome, std::int64_t at);
    /// Counts a lost attempt; returns whether the task has reached the limit and must fail.
    bool countLostAttempt(const JobRecord &job, TaskId id);
    void finishTask(JobRecord &job, TaskRecord &task, TaskState state, std::int64_t at);
    void cancelWaiting(JobRecord &job, std::int64_t at);
    void endAttemptsAsLost(TargetRecord &target, const std::string &reason);
    JobRecord *findJobOf(TaskId task);
    TargetRecord *findTarget(TargetId id);
    void rebuildIndexes();

    template<typename Archive>
    void serializeRecords(Archive &archive, std::uint16_t format);

    std::uint8_t shardNumber;
    TaskId nextTaskId;
    TargetId nextTargetId{1};
    Configuration document;
    RequestLog requests;
    std::map<JobId, JobRecord> jobTable;
    std::map<TargetId, TargetRecord> targetTable;
    std::map<TeamId, TeamRecord> teamTable;
    std::set<std::string> evacuated; ///< failure domains
    /// Attempts lost with their targets, per task of an unfinished job.
    std::map<TaskId, std::uint16_t> lostAttempts;
    // Indexes, not part of a snapshot; rebuildIndexes() derives them from the tables.
    std::map<std::string, TargetId> targetsByName;
    std::map<std::string, TeamId> teamsByName;
    std::map<std::pair<TeamId, std::string>, JobId> jobsByIdempotencyKey;
};

} // namespace guavavalve
