#include "core/codec.h"
#include "state/clusterstate.h"
#include "state/clusterstatedetails.h"
#include "state/requestlogarchive.h"

#include <cereal/types/map.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <xxhash.h>

#include <utility>

namespace guavavalve {
namespace internal {

namespace {

constexpr std::uint32_t snapshotMagic = 0x53564755; // "GUVS"
// Older formats can still be restored.
constexpr std::uint16_t firstSnapshotFormat = 1;
constexpr std::uint16_t formatWithEvacuations = 2;
constexpr std::uint16_t formatWithLostAttempts = 3;
constexpr std::uint16_t snapshotFormat = formatWithLostAttempts;
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

std::uint64_t checksumOf(const char *bytes, std::size_t size)
{
    return XXH3_64bits(bytes, size);
}

Error corrupt(const std::string &what)
{
    return failure(ErrorCode::Corrupt, what);
}

/// Checks what other code relies on when it accesses a job: its range of task IDs overlaps no other
/// job's, and every finished attempt has a record of its end.
Result<void> checkJobRecord(JobId id, const JobRecord &job, TaskId nextTaskId)
{
    if (id != job.id || idValue(id) >= idValue(nextTaskId)
        || job.tasks.size() > idValue(nextTaskId) - idValue(id))
        return corrupt("job " + idText(id)
                       + " is stored under a wrong ID or has more tasks than assigned IDs");
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const TaskRecord &task = job.tasks[i];
        const bool over = task.attempt > 0 && task.state != TaskState::Placed;
        if (enumName(taskStateNames, task.state) == "unknown" && task.state != TaskState::Unknown)
            return corrupt("a task of job " + idText(id) + " has an unknown state");
        if (over && job.end(job.taskId(i)) == nullptr)
            return corrupt("a task of job " + idText(id)
                           + " has no record of the end of its attempt");
    }
    return boost::outcome_v2::success();
}

/// The totals of a target or team, recomputed from the tasks.
struct RecomputedTotals
{
    Resources used;
    std::uint32_t placed = 0;
    std::uint32_t waiting = 0;
    std::vector<TaskId> tasks;
};

} // namespace

} // namespace internal

template<typename Archive>
void ClusterState::serializeRecords(Archive &archive, std::uint16_t format)
{
    archive(this->nextTaskId, this->nextTargetId, this->document, this->requests, this->jobTable,
            this->targetTable, this->teamTable);
    if (format >= internal::formatWithEvacuations)
        archive(this->evacuated);
    if (format >= internal::formatWithLostAttempts)
        archive(this->lostAttempts);
}

std::string ClusterState::snapshot() const
{
    std::string bytes;
    MemoryOutputArchive writer(bytes);
    writer(internal::snapshotMagic, internal::snapshotFormat, this->shardNumber);
    // cereal uses the same serialize() functions for reading and writing, so they are not const.
    // Writing does not modify the state.
    const_cast<ClusterState *>(this)->serializeRecords(writer, internal::snapshotFormat);
    const std::uint64_t checksum = internal::checksumOf(bytes.data(), bytes.size());
    writer(checksum);
    return bytes;
}

Result<void> ClusterState::restore(const std::string &bytes)
{
    if (bytes.size() < internal::checksumBytes)
        return internal::corrupt("the snapshot is too short to hold a checksum");
    const std::size_t bodySize = bytes.size() - internal::checksumBytes;
    ClusterState restored(this->shardNumber);
    try {
        const std::string body = bytes.substr(0, bodySize);
        const std::string tail = bytes.substr(bodySize);
        std::uint64_t checksum = 0;
        MemoryInputArchive tailReader(tail);
        tailReader(checksum);
        if (checksum != internal::checksumOf(body.data(), body.size()))
            return internal::corrupt("the checksum of the snapshot does not match its content");
        MemoryInputArchive reader(body);
        std::uint32_t magic = 0;
        std::uint16_t format = 0;
        std::uint8_t shard = 0;
        reader(magic, format, shard);
        const bool isKnown =
            format >= internal::firstSnapshotFormat && format <= internal::snapshotFormat;
        if (magic != internal::snapshotMagic || !isKnown)
            return internal::corrupt("the snapshot has a format that this version cannot read");
        if (shard != this->shardNumber)
            return internal::corrupt("the snapshot is of shard " + std::to_string(shard)
                                     + ", not of shard " + std::to_string(this->shardNumber));
        restored.serializeRecords(reader, format);
        if (reader.bytesLeft() != 0)
            return internal::corrupt("the snapshot has trailing bytes");
    } catch (const std::exception &error) {
        return internal::corrupt(std::string("the snapshot cannot be decoded: ") + error.what());
    }
    if (auto read = restored.document.rebuildPolicies(); read.has_error())
        return read.error();
    restored.rebuildIndexes();
    if (auto counted = restored.verifyCounts(); counted.has_error())
        return counted.error();
    *this = std::move(restored);
    return boost::outcome_v2::success();
}

void ClusterState::rebuildIndexes()
{
    for (auto &[id, target] : this->targetTable) {
        this->targetsByName[target.name] = id;
        target.evacuated = this->evacuated.count(target.failureDomain) != 0;
    }
    for (const auto &[id, team] : this->teamTable)
        this->teamsByName[team.name] = id;
    for (const auto &[id, job] : this->jobTable)
        this->jobsByIdempotencyKey[{job.team, job.idempotencyKey}] = id;
}

Result<void> ClusterState::verifyCounts() const
{
    std::map<TargetId, internal::RecomputedTotals> byTarget;
    std::map<TeamId, internal::RecomputedTotals> byTeam;
    for (const auto &[id, job] : this->jobTable) {
        if (auto checked = internal::checkJobRecord(id, job, this->nextTaskId); checked.has_error())
            return checked.error();
        std::uint32_t unfinished = 0;
        internal::RecomputedTotals &team = byTeam[job.team];
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            const TaskRecord &task = job.tasks[i];
            unfinished += isFinal(task.state) ? 0 : 1;
            team.waiting += task.state == TaskState::Waiting ? 1 : 0;
            if (task.state != TaskState::Placed)
                continue;
            ++team.placed;
            team.used += job.need;
            internal::RecomputedTotals &target = byTarget[task.target];
            target.used += job.need;
            target.tasks.push_back(job.taskId(i));
        }
        if (unfinished != job.unfinished)
            return internal::corrupt("job " + internal::idText(id)
                                     + " has a wrong count of unfinished tasks");
    }
    for (const auto &[id, target] : this->targetTable) {
        const internal::RecomputedTotals &counted = byTarget[id];
        if (id != target.id || id >= this->nextTargetId)
            return internal::corrupt("target " + internal::quoted(target.name)
                                     + " is stored under a wrong ID");
        if (counted.used != target.used || counted.tasks != target.tasks)
            return internal::corrupt("target " + internal::quoted(target.name)
                                     + " has wrong totals of its placed tasks");
    }
    for (const auto &[id, team] : this->teamTable) {
        const internal::RecomputedTotals &counted = byTeam[id];
        if (id != team.id || this->document.team(team.name) == nullptr)
            return internal::corrupt("team " + internal::quoted(team.name)
                                     + " has a wrong ID or no section");
        if (counted.used != team.running || counted.placed != team.placedTasks
            || counted.waiting != team.waitingTasks)
            return internal::corrupt("team " + internal::quoted(team.name)
                                     + " has wrong totals of its tasks");
    }
    if (byTarget.size() > this->targetTable.size() || byTeam.size() > this->teamTable.size())
        return internal::corrupt("a task refers to a target or team that does not exist");
    return boost::outcome_v2::success();
}

} // namespace guavavalve
