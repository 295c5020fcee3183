#include "operators/questionparsing.h"

#include "operators/jsonfields.h"
#include "platform/httpserver.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <string>

namespace guavavalve {

namespace {

constexpr std::string_view sectionsPath = "/v1/operators/configuration/sections/";

Error invalid(const std::string &message)
{
    return failure(ErrorCode::InvalidArgument, message);
}

/// The number that query parameter \a name holds; \a otherwise if it is not given.
Result<std::uint64_t> numberParameter(const HttpRequest &request, const std::string &name,
                                      std::uint64_t otherwise)
{
    const std::string text = request.parameter(name);
    if (text.empty())
        return otherwise;
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size())
        return invalid("query parameter " + name + " is \"" + text + "\"; give a whole number");
    return value;
}

Result<std::string> requiredParameter(const HttpRequest &request, const std::string &name)
{
    std::string text = request.parameter(name);
    if (text.empty())
        return invalid("query parameter " + name + " is missing");
    return text;
}

template<typename Question>
Result<OperatorQuestion> parsePlain(const HttpRequest &)
{
    return OperatorQuestion(Question());
}

Result<OperatorQuestion> parseShow(const HttpRequest &request)
{
    ShowConfigurationRequest question;
    question.section = request.parameter("section");
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseCheck(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    BOOST_OUTCOME_TRY(const std::vector<JsonFields> drafts, body.list("drafts"));
    CheckConfigurationRequest question;
    for (const JsonFields &fields : drafts) {
        SectionDraft draft;
        BOOST_OUTCOME_TRY(draft.name, fields.text("name"));
        BOOST_OUTCOME_TRY(draft.content, fields.text("content"));
        question.drafts.push_back(std::move(draft));
    }
    return OperatorQuestion(std::move(question));
}

/// The body is the section as its owner wrote it. It is handed on untouched: reading it here and
/// writing it anew would hide a doubled field from the check.
Result<OperatorQuestion> parseWrite(const HttpRequest &request)
{
    WriteSectionRequest question;
    question.draft.name = request.path.substr(sectionsPath.size());
    if (question.draft.name.empty())
        return invalid("the path names no section");
    question.draft.content = request.body;
    BOOST_OUTCOME_TRY(question.requestId, requiredParameter(request, "requestId"));
    if (request.parameter("baseVersion").empty())
        return invalid("query parameter baseVersion is missing: give the version that this one "
                       "replaces, 0 for a new section");
    BOOST_OUTCOME_TRY(question.baseVersion, numberParameter(request, "baseVersion", 0));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseHistory(const HttpRequest &request)
{
    SectionHistoryRequest question;
    BOOST_OUTCOME_TRY(question.section, requiredParameter(request, "section"));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseGrant(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    GrantKeyRequest question;
    BOOST_OUTCOME_TRY(question.team, body.text("team", ""));
    BOOST_OUTCOME_TRY(question.label, body.text("label", ""));
    BOOST_OUTCOME_TRY(const std::string role, body.text("role", "team"));
    if (role != "team" && role != "operator")
        return invalid("role is \"" + role + "\"; allowed: team, operator");
    question.isOperator = role == "operator";
    if (!question.isOperator && question.team.empty())
        return invalid("team is missing: name the team that the key is for");
    BOOST_OUTCOME_TRY(question.requestId, body.text("requestId"));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseWithdraw(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    WithdrawKeyRequest question;
    BOOST_OUTCOME_TRY(question.keyId, body.text("keyId"));
    BOOST_OUTCOME_TRY(question.requestId, body.text("requestId"));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseDrain(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    DrainTargetRequest question;
    BOOST_OUTCOME_TRY(question.target, body.text("target"));
    BOOST_OUTCOME_TRY(question.drain, body.boolean("drain", true));
    return OperatorQuestion(std::move(question));
}

Result<ReplicaMember> parseMember(const JsonFields &fields)
{
    ReplicaMember member;
    BOOST_OUTCOME_TRY(member.instance, fields.text("instance"));
    BOOST_OUTCOME_TRY(member.address, fields.text("address"));
    member.voter = true;
    return member;
}

Result<OperatorQuestion> parseAddReplica(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    AddReplicaRequest question;
    BOOST_OUTCOME_TRY(question.member, parseMember(body));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseRemoveReplica(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    RemoveReplicaRequest question;
    BOOST_OUTCOME_TRY(question.instance, body.text("instance"));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseListJobs(const HttpRequest &request)
{
    ListJobsRequest question;
    question.team = request.parameter("team");
    question.unfinishedOnly = request.parameter("unfinished") == "true";
    BOOST_OUTCOME_TRY(const std::uint64_t atMost,
                      numberParameter(request, "limit", question.atMost));
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    question.atMost = static_cast<std::uint32_t>(std::min(atMost, most));
    return OperatorQuestion(std::move(question));
}

Result<OperatorQuestion> parseExplain(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const std::string given, requiredParameter(request, "job"));
    BOOST_OUTCOME_TRY(const std::uint64_t job, numberParameter(request, "job", 0));
    if (job == 0)
        return invalid("job is \"" + given + "\"; give the number that the job was accepted under");
    ExplainJobRequest question;
    question.job = static_cast<JobId>(job);
    return OperatorQuestion(question);
}

} // namespace

const std::vector<OperatorRoute> &operatorRoutes()
{
    static const std::vector<OperatorRoute> table{
        {"GET", "/v1/operators/configuration", parseShow},
        {"POST", "/v1/operators/configuration/check", parseCheck},
        {"PUT", sectionsPath, parseWrite},
        {"GET", "/v1/operators/configuration/history", parseHistory},
        {"GET", "/v1/operators/configuration/in-force", parsePlain<InForceRequest>},
        {"GET", "/v1/operators/keys", parsePlain<ListKeysRequest>},
        {"POST", "/v1/operators/keys", parseGrant},
        {"POST", "/v1/operators/keys/withdraw", parseWithdraw},
        {"GET", "/v1/operators/teams", parsePlain<ListTeamsRequest>},
        {"GET", "/v1/operators/targets", parsePlain<ListTargetsRequest>},
        {"POST", "/v1/operators/targets/drain", parseDrain},
        {"GET", "/v1/operators/replicas", parsePlain<ReplicaStatusRequest>},
        {"POST", "/v1/operators/replicas/add", parseAddReplica},
        {"POST", "/v1/operators/replicas/remove", parseRemoveReplica},
        {"GET", "/v1/operators/jobs", parseListJobs},
        {"GET", "/v1/operators/explain", parseExplain},
        {"GET", "/v1/operators/status", parsePlain<CellStatusRequest>},
    };
    return table;
}

Result<FormGroupRequest> parseFormGroup(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(const JsonFields body, JsonFields::parse(request.body));
    BOOST_OUTCOME_TRY(const std::vector<JsonFields> members, body.list("members"));
    if (members.empty())
        return invalid("members is empty; name one, three or five replicas");
    FormGroupRequest question;
    for (const JsonFields &fields : members) {
        BOOST_OUTCOME_TRY(ReplicaMember member, parseMember(fields));
        question.members.push_back(std::move(member));
    }
    return question;
}

} // namespace guavavalve
