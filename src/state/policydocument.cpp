#include "state/policydocument.h"

#include "state/configuration.h"

#include <algorithm>
#include <utility>

namespace guavavalve {
namespace internal {

namespace {

using nlohmann::json;

constexpr std::int64_t maxTimeMs = std::int64_t{30} * 24 * 3600 * 1000;
constexpr std::int64_t maxTasks = 10000000;

template<typename Policy>
void addResources(FieldTable<Policy> &table, const std::string &group, Resources Policy::*member,
                  bool operatorsOnly, const std::string &doc)
{
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        auto amount = [member, kind](Policy &policy) -> std::int64_t & {
            return (policy.*member).amounts[kind];
        };
        table
            .integer(joinPath(group, std::string(resourceKindNames[kind])), amount, Unit::None,
                     {0, unlimitedAmount}, doc)
            .operatorsOnly = operatorsOnly;
    }
}

template<typename Policy>
void addClasses(FieldTable<Policy> &table)
{
    for (std::size_t i = 0; i < workClassCount; ++i) {
        const std::string name(enumName(workClassNames, static_cast<WorkClass>(i)));
        const std::string path = "classes." + name;
        table.boolean(
            path + ".enabled", [i](Policy &policy) -> bool & { return policy.classes[i].enabled; },
            "Whether work of class " + name + " is accepted.");
        table.integer(
            path + ".maxRunTimeMs",
            [i](Policy &policy) -> std::int64_t & { return policy.classes[i].maxRunTimeMs; },
            Unit::Ms, {0, maxTimeMs}, "Maximum run time; 0: no limit in this section.");
        table.integer(
            path + ".startWithinMs",
            [i](Policy &policy) -> std::int64_t & { return policy.classes[i].startWithinMs; },
            Unit::Ms, {0, maxTimeMs},
            "Default time to start for requests that set none; 0: no default in this section.");
    }
}

FieldTable<CellSection> makeCellTable()
{
    FieldTable<CellSection> table;
    table.integer("promptHeadroomPercent", &CellSection::promptHeadroomPercent, Unit::Percent,
                  {0, 90}, "Part of the fleet's capacity reserved for prompt work.");
    table.integer("totalShares", &CellSection::totalShares, Unit::None, {0, 1000000000},
                  "Maximum sum of all teams' shares; 0: no limit.");
    table.integer("defaultShare", &CellSection::defaultShare, Unit::None, {1, 1000000},
                  "Share of a team whose section sets none.");
    addResources(table, "defaultLimit", &CellSection::defaultLimit, false,
                 "Upper limit of a team whose section sets none; 2^53: no limit.");
    addResources(table, "maxTeamLimit", &CellSection::maxTeamLimit, false,
                 "Maximum of a team's upper limit; 2^53: no limit.");
    table.integer("maxWaitingTasks", &CellSection::maxWaitingTasks, Unit::None, {1, maxTasks},
                  "Maximum number of waiting tasks per team; more are refused.");
    table.integer("maxTasksPerJob", &CellSection::maxTasksPerJob, Unit::None, {1, 100000},
                  "Maximum number of tasks per job.");
    table.integer("maxPayloadBytes", &CellSection::maxPayloadBytes, Unit::Bytes, {1024, 8388608},
                  "Maximum payload of a job.");
    table.integer("targetLeaseMs", &CellSection::targetLeaseMs, Unit::Ms, {200, 600000},
                  "Lease of a target, starting when the target sends its announcement.");
    table.integer("driftMarginMs", &CellSection::driftMarginMs, Unit::Ms, {0, 60000},
                  "Allowance for clock drift, added when waiting for a lease to expire.");
    table.integer("quarantinePercent", &CellSection::quarantinePercent, Unit::Percent, {0, 50},
                  "Maximum part of the fleet that may be quarantined for failures.");
    addClasses(table);
    return table;
}

FieldTable<TeamSection> makeTeamTable()
{
    FieldTable<TeamSection> table;
    table.text("description", &TeamSection::description, TextFormat::Any, {0, 1000},
               "What the team does, human-readable.");
    table.text("contact", &TeamSection::contact, TextFormat::Any, {0, 200},
               "Whom to contact about the team's work.");
    table
        .integer("share", &TeamSection::share, Unit::None, {1, 1000000},
                 "Weight relative to other teams when the cell is full.")
        .operatorsOnly = true;
    addResources(table, "limit", &TeamSection::limit, true,
                 "Upper limit on the resources of the team's placed tasks; 2^53: no limit.");
    table.integer(
        "maxWaitingTasks", &TeamSection::maxWaitingTasks, Unit::None, {0, maxTasks},
        "Maximum number of waiting tasks; 0: the cell's limit. The cell's limit always applies.");
    addClasses(table);
    return table;
}

/// The policy of a team whose section is empty.
TeamSection teamDefaults(const CellSection &cell)
{
    TeamSection policy;
    policy.share = cell.defaultShare;
    for (std::size_t i = 0; i < resourceKindCount; ++i) {
        policy.limit.amounts[i] =
            std::min(cell.defaultLimit.amounts[i], cell.maxTeamLimit.amounts[i]);
    }
    for (std::size_t i = 0; i < workClassCount; ++i) {
        policy.classes[i].enabled = cell.classes[i].enabled;
        policy.classes[i].maxRunTimeMs = cell.classes[i].maxRunTimeMs;
        policy.classes[i].startWithinMs = cell.classes[i].startWithinMs;
    }
    return policy;
}

class DocumentParser
{
public:
    explicit DocumentParser(ParsedDocument &into)
        : parsed(into)
    {}

    template<typename Policy>
    void readSection(const std::string &section, const std::string &text,
                     const FieldTable<Policy> &table, Policy &policy)
    {
        JsonDocument document = parseJson(text, Configuration::maxSectionBytes);
        std::vector<Problem> problems = std::move(document.problems);
        if (problems.empty())
            problems = table.read(document.value, policy);
        for (Problem &problem : problems)
            this->report(section, std::move(problem));
    }

    void readTeam(const std::string &section, const std::string &text)
    {
        TeamSection policy = teamDefaults(this->parsed.policies.cell);
        this->readSection(section, text, teamPolicyTable(), policy);
        this->checkTeam(section, policy);
        this->parsed.policies.teams[teamOfSection(section)] = policy;
    }

    void checkShares()
    {
        const std::int64_t maxShares = this->parsed.policies.cell.totalShares;
        std::int64_t sum = 0;
        for (const auto &[name, team] : this->parsed.policies.teams)
            sum += team.share;
        if (maxShares > 0 && sum > maxShares)
            this->report(cellSectionName,
                         {"totalShares", "teams' shares with a sum of " + std::to_string(sum),
                          "at most " + std::to_string(maxShares)});
    }

private:
    void checkTeam(const std::string &section, const TeamSection &team)
    {
        const CellSection &cell = this->parsed.policies.cell;
        for (std::size_t i = 0; i < resourceKindCount; ++i) {
            if (team.limit.amounts[i] > cell.maxTeamLimit.amounts[i])
                this->report(section,
                             {"limit." + std::string(resourceKindNames[i]),
                              std::to_string(team.limit.amounts[i]),
                              "at most the cell's maxTeamLimit, "
                                  + std::to_string(cell.maxTeamLimit.amounts[i])});
        }
        for (std::size_t i = 0; i < workClassCount; ++i)
            this->checkClass(section, static_cast<WorkClass>(i), team);
    }

    void checkClass(const std::string &section, WorkClass workClass, const TeamSection &team)
    {
        const CellClassPolicy &allowed = this->parsed.policies.cell.classPolicy(workClass);
        const TeamClassPolicy &asked = team.classPolicy(workClass);
        const std::string path = "classes." + std::string(enumName(workClassNames, workClass));
        if (asked.enabled && !allowed.enabled)
            this->report(section,
                         {path + ".enabled", "true", "false, since the cell disables the class"});
        if (allowed.maxRunTimeMs > 0
            && (asked.maxRunTimeMs == 0 || asked.maxRunTimeMs > allowed.maxRunTimeMs))
            this->report(section,
                         {path + ".maxRunTimeMs", std::to_string(asked.maxRunTimeMs),
                          "from 1 to the cell's " + std::to_string(allowed.maxRunTimeMs) + " ms"});
    }

    void report(const std::string &section, Problem problem)
    {
        problem.path = problem.path.empty() ? section : section + ": " + problem.path;
        this->parsed.problems.push_back(std::move(problem));
    }

    ParsedDocument &parsed;
};

} // namespace

} // namespace internal

const FieldTable<CellSection> &cellPolicyTable()
{
    static const FieldTable<CellSection> table = internal::makeCellTable();
    return table;
}

const FieldTable<TeamSection> &teamPolicyTable()
{
    static const FieldTable<TeamSection> table = internal::makeTeamTable();
    return table;
}

std::string teamOfSection(const std::string &section)
{
    const std::string prefix = teamSectionPrefix;
    if (section.compare(0, prefix.size(), prefix) != 0)
        return "";
    std::string team = section.substr(prefix.size());
    return isName(team) ? team : "";
}

ParsedDocument readDocument(const SectionTexts &texts)
{
    ParsedDocument parsed;
    internal::DocumentParser reader(parsed);
    const auto cell = texts.find(cellSectionName);
    if (cell != texts.end())
        reader.readSection(cell->first, cell->second, cellPolicyTable(), parsed.policies.cell);
    for (const auto &[section, text] : texts) {
        if (!teamOfSection(section).empty())
            reader.readTeam(section, text);
    }
    reader.checkShares();
    return parsed;
}

ParsedDocument readTeamChanges(const PolicyDocument &before, const SectionTexts &texts)
{
    ParsedDocument parsed;
    parsed.policies = before;
    internal::DocumentParser reader(parsed);
    for (const auto &[section, text] : texts)
        reader.readTeam(section, text);
    // Checked after all sections are read, since a share may have moved from one team to another.
    reader.checkShares();
    return parsed;
}

} // namespace guavavalve
