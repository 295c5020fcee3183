#include "operators/operatorrequestparsing.h"

#include "operators/requestfields.h"
#include "runtime/httpserver.h"

#include <algorithm>
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

template<typename Question>
Result<OperatorRequestBody> parsePlain(const HttpRequest &)
{
    return OperatorRequestBody(Question());
}

Result<OperatorRequestBody> parseShow(const HttpRequest &request)
{
    return OperatorRequestBody(ShowConfigurationRequest{request.parameter("section")});
}

Result<OperatorRequestBody> parseCheck(const HttpRequest &request)
{
    BodyFields body(request);
    CheckConfigurationRequest question;
    for (BodyFields &fields : body.list("drafts"))
        question.drafts.push_back({fields.text("name"), fields.text("content")});
    return body.outcome<OperatorRequestBody>(std::move(question));
}

/// The body is the section as its owner wrote it. It is handed on untouched: reading it here and
/// writing it anew would hide a doubled field from the check.
Result<OperatorRequestBody> parseWrite(const HttpRequest &request)
{
    if (request.path.size() <= sectionsPath.size())
        return invalid("the path names no section");
    if (request.parameter("baseVersion").empty())
        return invalid("query parameter baseVersion is missing: give the version that this one "
                       "replaces, 0 for a new section");
    BOOST_OUTCOME_TRY(baseVersion, numberParameter(request, "baseVersion", 0));
    BOOST_OUTCOME_TRY(requestId, requiredParameter(request, "requestId"));
    WriteSectionRequest question;
    question.draft.name = request.path.substr(sectionsPath.size());
    question.draft.content = request.body;
    question.baseVersion = baseVersion;
    question.requestId = requestId;
    return OperatorRequestBody(std::move(question));
}

Result<OperatorRequestBody> parseHistory(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(section, requiredParameter(request, "section"));
    return OperatorRequestBody(SectionHistoryRequest{section});
}

Result<OperatorRequestBody> parseGrant(const HttpRequest &request)
{
    BodyFields body(request);
    GrantKeyRequest question;
    question.team = body.text("team", "");
    question.label = body.text("label", "");
    question.requestId = body.text("requestId");
    const std::string role = body.text("role", "team");
    question.isOperator = role == "operator";
    if (role != "team" && role != "operator")
        body.refuse("role is \"" + role + "\"; allowed: team, operator");
    if (!question.isOperator && question.team.empty())
        body.refuse("team is missing: name the team that the key is for");
    return body.outcome<OperatorRequestBody>(std::move(question));
}

Result<OperatorRequestBody> parseWithdraw(const HttpRequest &request)
{
    BodyFields body(request);
    WithdrawKeyRequest question{body.text("keyId"), body.text("requestId")};
    return body.outcome<OperatorRequestBody>(std::move(question));
}

Result<OperatorRequestBody> parseDrain(const HttpRequest &request)
{
    BodyFields body(request);
    DrainTargetRequest question;
    question.target = body.text("target");
    question.drain = body.boolean("drain", true);
    return body.outcome<OperatorRequestBody>(std::move(question));
}

Result<OperatorRequestBody> parseEvacuate(const HttpRequest &request)
{
    BodyFields body(request);
    EvacuateDomainRequest question;
    question.failureDomain = body.text("failureDomain");
    question.evacuate = body.boolean("evacuate", true);
    return body.outcome<OperatorRequestBody>(std::move(question));
}

ReplicaMember memberOf(BodyFields &fields)
{
    ReplicaMember member;
    member.instance = fields.text("instance");
    member.address = fields.text("address");
    member.voter = true;
    return member;
}

Result<OperatorRequestBody> parseAddReplica(const HttpRequest &request)
{
    BodyFields body(request);
    return body.outcome<OperatorRequestBody>(AddReplicaRequest{memberOf(body)});
}

Result<OperatorRequestBody> parseRemoveReplica(const HttpRequest &request)
{
    BodyFields body(request);
    return body.outcome<OperatorRequestBody>(RemoveReplicaRequest{body.text("instance")});
}

Result<OperatorRequestBody> parseListJobs(const HttpRequest &request)
{
    ListJobsRequest question;
    BOOST_OUTCOME_TRY(atMost, numberParameter(request, "limit", question.atMost));
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    question.team = request.parameter("team");
    question.unfinishedOnly = request.parameter("unfinished") == "true";
    question.atMost = static_cast<std::uint32_t>(std::min(atMost, most));
    return OperatorRequestBody(std::move(question));
}

Result<OperatorRequestBody> parseExplain(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(job, numberParameter(request, "job", 0));
    if (job == 0)
        return invalid("query parameter job is missing: give the job's number");
    return OperatorRequestBody(ExplainJobRequest{static_cast<JobId>(job)});
}

} // namespace

const std::vector<OperatorRoute> &operatorRoutes()
{
    static const std::vector<OperatorRoute> table{
        {"GET", "/v1/operators/configuration", parseShow},
        {"POST", "/v1/operators/configuration/check", parseCheck},
        {"PUT", sectionsPath, parseWrite},
        {"GET", "/v1/operators/configuration/history", parseHistory},
        {"GET", "/v1/operators/configuration/in-force", parsePlain<ConfigurationInForceRequest>},
        {"GET", "/v1/operators/keys", parsePlain<ListKeysRequest>},
        {"POST", "/v1/operators/keys", parseGrant},
        {"POST", "/v1/operators/keys/withdraw", parseWithdraw},
        {"GET", "/v1/operators/teams", parsePlain<ListTeamsRequest>},
        {"GET", "/v1/operators/targets", parsePlain<ListTargetsRequest>},
        {"POST", "/v1/operators/targets/drain", parseDrain},
        {"GET", "/v1/operators/domains", parsePlain<ListDomainsRequest>},
        {"POST", "/v1/operators/domains/evacuate", parseEvacuate},
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
    BodyFields body(request);
    FormGroupRequest question;
    for (BodyFields &fields : body.list("members"))
        question.members.push_back(memberOf(fields));
    if (question.members.empty())
        body.refuse("members is empty; name one, three or five replicas");
    return body.outcome<FormGroupRequest>(std::move(question));
}

} // namespace guavavalve
