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
// Older formats are still read.
constexpr std::uint16_t firstSnapshotFormat = 1;
constexpr std::uint16_t formatWithEvacuations = 2;
constexpr std::uint16_t formatWithLosses = 3;
constexpr std::uint16_t snapshotFormat = formatWithLosses;
constexpr std::size_t checksumBytes = sizeof(std::uint64_t);

std::uint64_t checksumOf(const char *bytes, std::size_t size)
{
    return XXH3_64bits(bytes, size);
}

Error corrupt(const std::string &what)
{
    return failure(ErrorCode::Corrupt, what);
}

/// What the code relies on when it reaches into a job: no other task's identity is in its range,
/// and an attempt that is over has its end kept.
Result<void> checkJobRecord(JobId id, const JobRecord &job, TaskId next)
{
    if (id != job.id || idValue(id) >= idValue(next)
        || job.tasks.size() > idValue(next) - idValue(id))
        return corrupt("job " + numberOf(id) + " is filed under another's identity");
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        const TaskRecord &task = job.tasks[i];
        const bool over = task.attempt > 0 && task.state != TaskState::Placed;
        if (enumName(taskStateNames, task.state) == "unknown" && task.state != TaskState::Unknown)
            return corrupt("a task of job " + numberOf(id) + " is in no known state");
        if (over && job.end(job.taskId(i)) == nullptr)
            return corrupt("a task of job " + numberOf(id) + " has lost how its attempt ended");
    }
    return boost::outcome_v2::success();
}

/// What the tasks say that a target or a team has.
struct Counted
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
    archive(this->next, this->nextTarget, this->document, this->requests, this->jobTable,
            this->targetTable, this->teamTable);
    if (format >= internal::formatWithEvacuations)
        archive(this->evacuated);
    if (format >= internal::formatWithLosses)
        archive(this->lostAttempts);
}

std::string ClusterState::snapshot() const
{
    std::string bytes;
    MemoryOutputArchive writer(bytes);
    writer(internal::snapshotMagic, internal::snapshotFormat, this->shardNumber);
    // cereal's serialize() functions serve both ways and so are not const; writing changes nothing.
    const_cast<ClusterState *>(this)->serializeRecords(writer, internal::snapshotFormat);
    const std::uint64_t checksum = internal::checksumOf(bytes.data(), bytes.size());
    writer(checksum);
    return bytes;
}

Result<void> ClusterState::restore(const std::string &bytes)
{
    if (bytes.size() < internal::checksumBytes)
        return internal::corrupt("a snapshot is too short");
    const std::size_t bodySize = bytes.size() - internal::checksumBytes;
    ClusterState restored(this->shardNumber);
    try {
        const std::string body = bytes.substr(0, bodySize);
        const std::string tail = bytes.substr(bodySize);
        std::uint64_t checksum = 0;
        MemoryInputArchive tailReader(tail);
        tailReader(checksum);
        if (checksum != internal::checksumOf(body.data(), body.size()))
            return internal::corrupt("a snapshot does not have the checksum that it names");
        MemoryInputArchive reader(body);
        std::uint32_t magic = 0;
        std::uint16_t format = 0;
        std::uint8_t shard = 0;
        reader(magic, format, shard);
        const bool isKnown =
            format >= internal::firstSnapshotFormat && format <= internal::snapshotFormat;
        if (magic != internal::snapshotMagic || !isKnown)
            return internal::corrupt("a snapshot is not of the format that this version reads");
        if (shard != this->shardNumber)
            return internal::corrupt("a snapshot is of shard " + std::to_string(shard)
                                     + " and not of " + std::to_string(this->shardNumber));
        restored.serializeRecords(reader, format);
        if (reader.bytesLeft() != 0)
            return internal::corrupt("a snapshot has bytes left over");
    } catch (const std::exception &error) {
        return internal::corrupt(std::string("a snapshot cannot be decoded: ") + error.what());
    }
    if (auto read = restored.document.readPolicies(); read.has_error())
        return read.error();
    restored.indexRecords();
    if (auto counted = restored.recount(); counted.has_error())
        return counted.error();
    *this = std::move(restored);
    return boost::outcome_v2::success();
}

void ClusterState::indexRecords()
{
    for (auto &[id, target] : this->targetTable) {
        this->targetsByName[target.name] = id;
        target.evacuated = this->evacuated.count(target.failureDomain) != 0;
    }
    for (const auto &[id, team] : this->teamTable)
        this->teamsByName[team.name] = id;
    for (const auto &[id, job] : this->jobTable)
        this->jobsByKey[{job.team, job.idempotencyKey}] = id;
}

Result<void> ClusterState::recount() const
{
    std::map<TargetId, internal::Counted> byTarget;
    std::map<TeamId, internal::Counted> byTeam;
    for (const auto &[id, job] : this->jobTable) {
        if (auto checked = internal::checkJobRecord(id, job, this->next); checked.has_error())
            return checked.error();
        std::uint32_t unfinished = 0;
        internal::Counted &team = byTeam[job.team];
        for (std::size_t i = 0; i < job.tasks.size(); ++i) {
            const TaskRecord &task = job.tasks[i];
            unfinished += isFinal(task.state) ? 0 : 1;
            team.waiting += task.state == TaskState::Waiting ? 1 : 0;
            if (task.state != TaskState::Placed)
                continue;
            ++team.placed;
            team.used += job.need;
            internal::Counted &target = byTarget[task.target];
            target.used += job.need;
            target.tasks.push_back(job.taskId(i));
        }
        if (unfinished != job.unfinished)
            return internal::corrupt("job " + internal::numberOf(id) + " counts its tasks wrongly");
    }
    for (const auto &[id, target] : this->targetTable) {
        const internal::Counted &counted = byTarget[id];
        if (id != target.id || id >= this->nextTarget)
            return internal::corrupt("target " + internal::quoted(target.name)
                                     + " is filed under another's identity");
        if (counted.used != target.used || counted.tasks != target.tasks)
            return internal::corrupt("target " + internal::quoted(target.name)
                                     + " counts what is placed there wrongly");
    }
    for (const auto &[id, team] : this->teamTable) {
        const internal::Counted &counted = byTeam[id];
        if (id != team.id || this->document.team(team.name) == nullptr)
            return internal::corrupt("team " + internal::quoted(team.name) + " has no section");
        if (counted.used != team.running || counted.placed != team.placedTasks
            || counted.waiting != team.waitingTasks)
            return internal::corrupt("team " + internal::quoted(team.name)
                                     + " counts what it runs wrongly");
    }
    if (byTarget.size() > this->targetTable.size() || byTeam.size() > this->teamTable.size())
        return internal::corrupt("a task names a target or a team that is not there");
    return boost::outcome_v2::success();
}

} // namespace guavavalve
