// The requests of OperatorService about targets, failure domains, teams, jobs and the cell.

#include "controller/operatorservice.h"
#include "core/resourcelimit.h"
#include "replicas/replicatedlog.h"
#include "state/clusterstate.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace guavavalve {

namespace {

/// Jobs scanned for one list, which bounds how long the state stays locked.
constexpr std::size_t maxJobsScanned = 100000;
constexpr std::uint32_t maxJobsListed = 1000;

std::string targetState(const TargetRecord &target, const std::set<std::string> &quarantined)
{
    if (target.lapsed)
        return "lost";
    if (target.departing)
        return "departing";
    if (target.draining)
        return "draining";
    if (target.evacuated)
        return "evacuated";
    return quarantined.count(target.name) > 0 ? "quarantined" : "ready";
}

TargetSummary summarize(const TargetRecord &target, const std::set<std::string> &quarantined)
{
    TargetSummary summary;
    summary.name = target.name;
    summary.failureDomain = target.failureDomain;
    summary.rack = target.rack;
    summary.address = target.address;
    summary.incarnation = target.incarnation;
    summary.state = targetState(target, quarantined);
    summary.total = target.total;
    summary.placed = target.used;
    summary.tasks = static_cast<std::uint32_t>(target.tasks.size());
    return summary;
}

std::string teamName(const ClusterState &state, TeamId id)
{
    const TeamRecord *team = state.team(id);
    return team != nullptr ? team->name : "?";
}

JobSummary summarize(const ClusterState &state, const JobRecord &job)
{
    JobSummary summary;
    summary.job = job.id;
    summary.team = teamName(state, job.team);
    summary.workClass = job.workClass;
    summary.tasks = static_cast<std::uint32_t>(job.tasks.size());
    summary.finished = job.finished();
    for (const TaskRecord &task : job.tasks) {
        if (task.state == TaskState::Waiting)
            ++summary.waiting;
        if (task.state == TaskState::Placed)
            ++summary.placed;
    }
    return summary;
}

/// A resource limit as shown to operators: a negative amount means no limit.
Resources shownLimit(Resources limit)
{
    for (std::int64_t &amount : limit.amounts) {
        if (amount >= unlimitedAmount)
            amount = -1;
    }
    return limit;
}

struct WaitingCount
{
    std::uint64_t tasks = 0;
    TaskId first = TaskId::None;
};

using WaitingTable = std::map<std::pair<std::string, WorkClass>, WaitingCount>;

void countWaiting(const ClusterState &state, const JobRecord &job, WaitingTable &table)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].state != TaskState::Waiting)
            continue;
        WaitingCount &row = table[{teamName(state, job.team), job.workClass}];
        ++row.tasks;
        if (row.first == TaskId::None)
            row.first = job.taskId(i);
    }
}

} // namespace

TargetList OperatorService::targetList() const
{
    const std::vector<std::string> names =
        this->hooks.quarantined ? this->hooks.quarantined() : std::vector<std::string>();
    const std::set<std::string> quarantined(names.begin(), names.end());
    TargetList list;
    this->read([&](const ClusterState &state) {
        for (const auto &[id, target] : state.targets())
            list.targets.push_back(summarize(target, quarantined));
    });
    return list;
}

void OperatorService::handle(const OperatorIdentity &, const ListTargetsRequest &,
                             const Reply &reply)
{
    reply(OperatorReply(this->targetList()));
}

void OperatorService::handle(const OperatorIdentity &, const DrainTargetRequest &request,
                             const Reply &reply)
{
    SetTargetDraining command;
    this->read([&](const ClusterState &state) {
        const TargetRecord *target = state.targetNamed(request.target);
        if (target != nullptr)
            command.target = target->id;
    });
    if (command.target == TargetId::None) {
        reply(failure(ErrorCode::NotFound,
                      "no target has announced itself as \"" + request.target + "\""));
        return;
    }
    command.draining = request.drain;
    this->hooks.propose(command, [this, reply, id = command.target](Result<CommandValue> outcome) {
        if (!outcome) {
            reply(outcome.error());
            return;
        }
        TargetSummary summary;
        this->read([&](const ClusterState &state) {
            if (const TargetRecord *target = state.target(id))
                summary = summarize(*target, std::set<std::string>());
        });
        reply(OperatorReply(std::move(summary)));
    });
}

DomainList OperatorService::domainList() const
{
    std::map<std::string, DomainSummary> domains;
    this->read([&](const ClusterState &state) {
        for (const std::string &domain : state.evacuatedDomains())
            domains[domain].evacuated = true;
        for (const auto &[id, target] : state.targets()) {
            DomainSummary &summary = domains[target.failureDomain];
            ++summary.targets;
            summary.tasks += static_cast<std::uint32_t>(target.tasks.size());
        }
    });
    DomainList list;
    for (auto &[name, summary] : domains) {
        summary.failureDomain = name;
        list.domains.push_back(std::move(summary));
    }
    return list;
}

void OperatorService::handle(const OperatorIdentity &, const ListDomainsRequest &,
                             const Reply &reply)
{
    reply(OperatorReply(this->domainList()));
}

void OperatorService::handle(const OperatorIdentity &, const EvacuateDomainRequest &request,
                             const Reply &reply)
{
    SetDomainEvacuated command;
    command.failureDomain = request.failureDomain;
    command.evacuated = request.evacuate;
    this->hooks.propose(command,
                        [this, reply, name = request.failureDomain](Result<CommandValue> outcome) {
                            if (!outcome) {
                                reply(outcome.error());
                                return;
                            }
                            DomainSummary found;
                            for (const DomainSummary &summary : this->domainList().domains) {
                                if (summary.failureDomain == name)
                                    found = summary;
                            }
                            reply(OperatorReply(std::move(found)));
                        });
}

TeamList OperatorService::teamList() const
{
    const Statistics statistics = this->hooks.statistics();
    TeamList list;
    this->read([&](const ClusterState &state) {
        for (const auto &[id, team] : state.teams()) {
            TeamSummary summary;
            summary.team = team.name;
            summary.limit = shownLimit(state.limitOf(id));
            summary.placed = team.running;
            summary.waiting = team.waitingTasks;
            if (const TeamSection *section = state.configuration().team(team.name))
                summary.share = static_cast<double>(section->share);
            for (const TeamStatistics &figures : statistics.teams) {
                if (figures.team != id)
                    continue;
                summary.entitled = figures.fairShare;
                summary.inUse = figures.share;
            }
            list.teams.push_back(std::move(summary));
        }
    });
    return list;
}

void OperatorService::handle(const OperatorIdentity &, const ListTeamsRequest &, const Reply &reply)
{
    reply(OperatorReply(this->teamList()));
}

void OperatorService::handle(const OperatorIdentity &identity, const ListJobsRequest &request,
                             const Reply &reply)
{
    const std::string team = identity.isOperator ? request.team : identity.team;
    const std::uint32_t atMost = std::min(request.atMost, maxJobsListed);
    JobList list;
    this->read([&](const ClusterState &state) {
        std::size_t scanned = 0;
        for (auto it = state.jobs().rbegin(); it != state.jobs().rend(); ++it) {
            const JobRecord &job = it->second;
            if (++scanned > maxJobsScanned || list.jobs.size() >= atMost) {
                list.more = true;
                return;
            }
            if (request.unfinishedOnly && job.finished())
                continue;
            if (team.empty() || teamName(state, job.team) == team)
                list.jobs.push_back(summarize(state, job));
        }
    });
    reply(OperatorReply(std::move(list)));
}

void OperatorService::handle(const OperatorIdentity &identity, const ExplainJobRequest &request,
                             const Reply &reply)
{
    const Result<JobStatus> status = this->hooks.jobStatus(request.job);
    // A job of another team is reported as unknown, so as not to reveal that it exists.
    if (!status || (!identity.isOperator && status.value().team != identity.team)) {
        reply(failure(ErrorCode::NotFound,
                      "no such job; finished jobs are removed after the retention time"));
        return;
    }
    constexpr std::size_t maxReasons = 50;
    JobExplanation explanation;
    explanation.status = status.value();
    for (const TaskStatus &task : explanation.status.tasks) {
        if (explanation.reasons.size() >= maxReasons)
            break;
        const Explanation why = this->hooks.explain(task.task);
        if (!why.text.empty())
            explanation.reasons.push_back(why.text);
        else if (why.reason != Reason::None)
            explanation.reasons.emplace_back(enumName(reasonNames, why.reason));
    }
    reply(OperatorReply(std::move(explanation)));
}

std::vector<WaitingSummary> OperatorService::waitingList() const
{
    WaitingTable table;
    this->read([&](const ClusterState &state) {
        std::size_t scanned = 0;
        for (const auto &[id, job] : state.jobs()) {
            if (++scanned > maxJobsScanned)
                return;
            if (!job.finished())
                countWaiting(state, job, table);
        }
    });
    std::vector<WaitingSummary> result;
    for (const auto &[key, row] : table) {
        const Explanation why = this->hooks.explain(row.first);
        result.push_back(
            {key.first, key.second, row.tasks,
             why.text.empty() ? std::string(enumName(reasonNames, why.reason)) : why.text});
    }
    return result;
}

void OperatorService::handle(const OperatorIdentity &, const CellStatusRequest &,
                             const Reply &reply)
{
    CellStatus status;
    status.replicas = this->hooks.log->status();
    const ConfigurationInForce configuration = this->inForce();
    status.configurationVersion = configuration.version;
    for (const InstanceConfiguration &instance : configuration.instances) {
        if (instance.version < configuration.version || !instance.leased)
            status.behind.push_back(instance.instance);
    }
    std::map<std::string, std::uint32_t> byState;
    for (const TargetSummary &target : this->targetList().targets) {
        ++byState[target.state];
        if (target.state == "quarantined")
            status.quarantined.push_back(target.name);
    }
    for (const auto &[state, targets] : byState)
        status.targets.push_back({state, targets});
    status.teams = this->teamList().teams;
    status.waiting = this->waitingList();
    status.packing = this->hooks.statistics().packing;
    reply(OperatorReply(std::move(status)));
}

} // namespace guavavalve
