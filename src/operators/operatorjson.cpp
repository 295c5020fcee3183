#include "operators/operatorjson.h"

#include <string>
#include <vector>

namespace guavavalve {

namespace {

using nlohmann::json;

template<typename T>
json listOf(const std::vector<T> &values);

json toJson(const std::string &text)
{
    return text;
}

json toJson(const Resources &resources)
{
    json result = json::object();
    for (std::size_t i = 0; i < resourceKindCount; ++i)
        result[std::string(resourceKindNames[i])] = resources.amounts[i];
    return result;
}

/// Sections have been validated, so their content parses as JSON; any other content becomes a JSON
/// string.
json contentJson(const std::string &content)
{
    json parsed = json::parse(content, nullptr, false);
    return parsed.is_discarded() ? json(content) : parsed;
}

json toJson(const ConfigurationSection &section)
{
    return {{"name", section.name},
            {"owner", section.owner},
            {"version", section.version},
            {"writtenBy", section.writtenBy},
            {"content", contentJson(section.content)}};
}

json toJson(const ConfigurationDocument &document)
{
    return {{"version", document.version}, {"sections", listOf(document.sections)}};
}

json toJson(const ConfigurationProblem &problem)
{
    return {{"path", problem.path}, {"message", problem.message}};
}

json toJson(const ConfigurationDifference &difference)
{
    return {{"path", difference.path},
            {"before", contentJson(difference.before)},
            {"after", contentJson(difference.after)}};
}

json toJson(const ConfigurationCheck &check)
{
    return {{"acceptable", check.problems.empty()},
            {"problems", listOf(check.problems)},
            {"differences", listOf(check.differences)}};
}

json toJson(const SectionWritten &written)
{
    return {{"version", written.version}, {"documentVersion", written.documentVersion}};
}

json toJson(const SectionHistory &history)
{
    return {{"versions", listOf(history.versions)}};
}

json toJson(const InstanceConfiguration &instance)
{
    return {{"instance", instance.instance},
            {"version", instance.version},
            {"leased", instance.leased}};
}

json toJson(const ConfigurationInForce &inForce)
{
    return {{"version", inForce.version},
            {"everywhere", inForce.everywhere},
            {"instances", listOf(inForce.instances)}};
}

json toJson(const KeyGranted &granted)
{
    return {{"keyId", granted.keyId}, {"token", granted.token}};
}

json toJson(const KeySummary &key)
{
    return {{"keyId", key.keyId},
            {"team", key.team},
            {"role", key.isOperator ? "operator" : "team"},
            {"label", key.label},
            {"withdrawn", key.withdrawn}};
}

json toJson(const KeyList &list)
{
    return {{"keys", listOf(list.keys)}};
}

json toJson(const TargetSummary &target)
{
    return {{"name", target.name},
            {"failureDomain", target.failureDomain},
            {"rack", target.rack},
            {"address", target.address},
            {"incarnation", target.incarnation},
            {"state", target.state},
            {"total", toJson(target.total)},
            {"placed", toJson(target.placed)},
            {"tasks", target.tasks}};
}

json toJson(const TargetList &list)
{
    return {{"targets", listOf(list.targets)}};
}

json toJson(const DomainSummary &domain)
{
    return {{"failureDomain", domain.failureDomain},
            {"state", domain.evacuated ? "evacuated" : "open"},
            {"targets", domain.targets},
            {"tasks", domain.tasks}};
}

json toJson(const DomainList &list)
{
    return {{"domains", listOf(list.domains)}};
}

json toJson(const ReplicaMember &member)
{
    return {{"instance", member.instance},
            {"address", member.address},
            {"voter", member.voter},
            {"matchIndex", member.matchIndex}};
}

json toJson(const JobSummary &job)
{
    return {{"job", std::to_string(idValue(job.job))},
            {"team", job.team},
            {"class", enumName(workClassNames, job.workClass)},
            {"tasks", job.tasks},
            {"waiting", job.waiting},
            {"placed", job.placed},
            {"finished", job.finished}};
}

json toJson(const JobList &list)
{
    return {{"jobs", listOf(list.jobs)}, {"more", list.more}};
}

json toJson(const TaskStatus &task)
{
    return {{"task", std::to_string(idValue(task.task))},
            {"state", enumName(taskStateNames, task.state)},
            {"attempt", task.attempt},
            {"target", task.target},
            {"ran", enumName(ranNames, task.ran)},
            {"message", task.message}};
}

json toJson(const JobExplanation &explanation)
{
    const JobStatus &status = explanation.status;
    return {{"job", std::to_string(idValue(status.job))},
            {"team", status.team},
            {"class", enumName(workClassNames, status.workClass)},
            {"finished", status.finished},
            {"waitedMs", status.waitedMs},
            {"tasks", listOf(status.tasks)},
            {"reasons", listOf(explanation.reasons)}};
}

json toJson(const TeamSummary &team)
{
    return {{"team", team.team},           {"share", team.share},
            {"entitled", team.entitled},   {"inUse", team.inUse},
            {"limit", toJson(team.limit)}, {"placed", toJson(team.placed)},
            {"waiting", team.waiting}};
}

json toJson(const TeamList &list)
{
    return {{"teams", listOf(list.teams)}};
}

json toJson(const WaitingSummary &waiting)
{
    return {{"team", waiting.team},
            {"class", enumName(workClassNames, waiting.workClass)},
            {"tasks", waiting.tasks},
            {"reason", waiting.reason}};
}

json toJson(const TargetCount &count)
{
    return {{"state", count.state}, {"targets", count.targets}};
}

json toJson(const CellStatus &status)
{
    return {{"replicas", guavavalve::toJson(status.replicas)},
            {"configurationVersion", status.configurationVersion},
            {"behind", listOf(status.behind)},
            {"targets", listOf(status.targets)},
            {"quarantined", listOf(status.quarantined)},
            {"teams", listOf(status.teams)},
            {"waiting", listOf(status.waiting)},
            {"packing", status.packing}};
}

template<typename T>
json listOf(const std::vector<T> &values)
{
    json result = json::array();
    for (const T &value : values)
        result.push_back(toJson(value));
    return result;
}

} // namespace

nlohmann::json toJson(const ReplicaStatus &status)
{
    return {{"role", enumName(replicaRoleNames, status.role)},
            {"formed", status.formed},
            {"term", status.term},
            {"leader", status.leader},
            {"leaderAddress", status.leaderAddress},
            {"committed", status.committed},
            {"applied", status.applied},
            {"members", listOf(status.members)}};
}

nlohmann::json toJson(const OperatorReply &reply)
{
    return std::visit([](const auto &value) { return toJson(value); }, reply);
}

} // namespace guavavalve
