#include "decisions/tracecodec.h"

#include <stdexcept>
#include <string>

namespace guavavalve::internal {

namespace {

template<typename Enum, std::size_t Count>
Enum enumFrom(const EnumNames<Enum, Count> &names, const Json &json)
{
    const auto name = json.get<std::string>();
    const auto value = enumFromName(names, name);
    if (!value)
        throw std::invalid_argument("unknown name \"" + name + "\"");
    return *value;
}

template<typename Enum, std::size_t Count>
std::string nameOf(const EnumNames<Enum, Count> &names, Enum value)
{
    return std::string(enumName(names, value));
}

template<typename Id>
Id idFrom(const Json &json, const char *field)
{
    return Id(json.at(field).get<std::underlying_type_t<Id>>());
}

Json toJson(const ClassPolicy &policy)
{
    return Json::array(
        {policy.preemptible, policy.maxShare, policy.maxWaiting, policy.preemptionDelay.count()});
}

ClassPolicy classFrom(const Json &json)
{
    ClassPolicy policy;
    policy.preemptible = json.at(0).get<bool>();
    policy.maxShare = json.at(1).get<double>();
    policy.maxWaiting = json.at(2).get<std::uint32_t>();
    policy.preemptionDelay = Milliseconds(json.at(3).get<std::int64_t>());
    return policy;
}

} // namespace

Json toJson(const Resources &resources)
{
    return resources.amounts;
}

Resources resourcesFrom(const Json &json)
{
    Resources resources;
    resources.amounts = json.get<decltype(resources.amounts)>();
    return resources;
}

Json toJson(Instant instant)
{
    return instant.time_since_epoch().count();
}

Instant instantFrom(const Json &json)
{
    return Instant(Microseconds(json.get<std::int64_t>()));
}

AttemptOutcome outcomeFrom(const Json &json)
{
    return enumFrom(attemptOutcomeNames, json);
}

Json toJson(const Policy &policy)
{
    Json teams = Json::array();
    for (const TeamPolicy &team : policy.teams)
        teams.push_back(Json::array({idValue(team.team), team.weight, toJson(team.limit)}));
    Json classes;
    for (const auto &[workClass, name] : workClassNames)
        classes[std::string(name)] = toJson(policy.of(workClass));
    const QuarantinePolicy &quarantine = policy.quarantine;
    return Json{{"teams", teams},
                {"classes", classes},
                {"quarantine",
                 Json::array({quarantine.maxFleetFraction, quarantine.firstProbeDelay.count(),
                              quarantine.maxProbeDelay.count()})},
                {"correctSizes", policy.correctSizes}};
}

Policy policyFrom(const Json &json)
{
    Policy policy;
    for (const Json &item : json.at("teams")) {
        TeamPolicy team;
        team.team = TeamId(item.at(0).get<std::uint32_t>());
        team.weight = item.at(1).get<double>();
        team.limit = resourcesFrom(item.at(2));
        policy.teams.push_back(team);
    }
    for (const auto &[workClass, name] : workClassNames)
        policy.of(workClass) = classFrom(json.at("classes").at(std::string(name)));
    const Json &quarantine = json.at("quarantine");
    policy.quarantine.maxFleetFraction = quarantine.at(0).get<double>();
    policy.quarantine.firstProbeDelay = Milliseconds(quarantine.at(1).get<std::int64_t>());
    policy.quarantine.maxProbeDelay = Milliseconds(quarantine.at(2).get<std::int64_t>());
    policy.correctSizes = json.at("correctSizes").get<bool>();
    return policy;
}

Json toJson(const TargetInfo &target)
{
    return Json{{"id", idValue(target.id)},       {"incarnation", target.incarnation},
                {"domain", target.failureDomain}, {"rack", target.rack},
                {"total", toJson(target.total)},  {"departing", target.departing}};
}

TargetInfo targetFrom(const Json &json)
{
    TargetInfo target;
    target.id = idFrom<TargetId>(json, "id");
    target.incarnation = json.at("incarnation").get<Incarnation>();
    target.failureDomain = json.at("domain").get<std::uint16_t>();
    target.rack = json.at("rack").get<std::uint16_t>();
    target.total = resourcesFrom(json.at("total"));
    target.departing = json.at("departing").get<bool>();
    return target;
}

Json toJson(const TaskRequest &task)
{
    Json json{{"id", idValue(task.id)},
              {"team", idValue(task.team)},
              {"class", nameOf(workClassNames, task.workClass)},
              {"need", toJson(task.need)}};
    // Values that most tasks have in common are omitted to keep traces small.
    if (idValue(task.job) != idValue(task.id))
        json["job"] = idValue(task.job);
    if (task.jobTasks != 1)
        json["jobTasks"] = task.jobTasks;
    if (task.startBy != Instant::max())
        json["startBy"] = toJson(task.startBy);
    if (task.declaredRunTime.count() != 0)
        json["runTime"] = task.declaredRunTime.count();
    if (!task.repeatable)
        json["repeatable"] = false;
    return json;
}

TaskRequest taskFrom(const Json &json)
{
    TaskRequest task;
    task.id = idFrom<TaskId>(json, "id");
    task.team = idFrom<TeamId>(json, "team");
    task.workClass = enumFrom(workClassNames, json.at("class"));
    task.need = resourcesFrom(json.at("need"));
    task.job = JobId(json.value("job", idValue(task.id)));
    task.jobTasks = json.value("jobTasks", 1U);
    if (json.contains("startBy"))
        task.startBy = instantFrom(json.at("startBy"));
    task.declaredRunTime = Microseconds(json.value("runTime", std::int64_t(0)));
    task.repeatable = json.value("repeatable", true);
    return task;
}

Json toJson(const Decision &decision)
{
    Json json = Json::array({nameOf(decisionKindNames, decision.kind), idValue(decision.task),
                             idValue(decision.target), nameOf(reasonNames, decision.reason)});
    if (decision.kind == DecisionKind::Place)
        json.push_back(toJson(decision.charge));
    if (decision.kind == DecisionKind::Refuse) {
        json.push_back(nameOf(errorCodeNames, decision.error));
        json.push_back(decision.retryAfter.count());
    }
    return json;
}

} // namespace guavavalve::internal
