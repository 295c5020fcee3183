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

template<typename RequestBody>
Result<OperatorRequestBody> parsePlain(const HttpRequest &)
{
    return OperatorRequestBody(RequestBody());
}

Result<OperatorRequestBody> parseShow(const HttpRequest &request)
{
    return OperatorRequestBody(ShowConfigurationRequest{request.parameter("section")});
}

Result<OperatorRequestBody> parseCheck(const HttpRequest &request)
{
    BodyFields body(request);
    CheckConfigurationRequest requestBody;
    for (BodyFields &fields : body.list("drafts"))
        requestBody.drafts.push_back({fields.text("name"), fields.text("content")});
    return body.outcome<OperatorRequestBody>(std::move(requestBody));
}

/// The body is the section as its owner wrote it. It is passed on unmodified, because parsing and
/// serialising it here would hide duplicate fields from validation.
Result<OperatorRequestBody> parseWrite(const HttpRequest &request)
{
    if (request.path.size() <= sectionsPath.size())
        return invalid("the path does not name a section");
    if (request.parameter("baseVersion").empty())
        return invalid("query parameter baseVersion is missing: give the version that this one "
                       "replaces, 0 for a new section");
    BOOST_OUTCOME_TRY(baseVersion, numberParameter(request, "baseVersion", 0));
    BOOST_OUTCOME_TRY(requestId, requiredParameter(request, "requestId"));
    WriteSectionRequest requestBody;
    requestBody.draft.name = request.path.substr(sectionsPath.size());
    requestBody.draft.content = request.body;
    requestBody.baseVersion = baseVersion;
    requestBody.requestId = requestId;
    return OperatorRequestBody(std::move(requestBody));
}

Result<OperatorRequestBody> parseHistory(const HttpRequest &request)
{
    BOOST_OUTCOME_TRY(section, requiredParameter(request, "section"));
    return OperatorRequestBody(SectionHistoryRequest{section});
}

Result<OperatorRequestBody> parseGrant(const HttpRequest &request)
{
    BodyFields body(request);
    GrantKeyRequest requestBody;
    requestBody.team = body.text("team", "");
    requestBody.label = body.text("label", "");
    requestBody.requestId = body.text("requestId");
    const std::string role = body.text("role", "team");
    requestBody.isOperator = role == "operator";
    if (role != "team" && role != "operator")
        body.recordError("role is \"" + role + "\"; allowed: team, operator");
    if (!requestBody.isOperator && requestBody.team.empty())
        body.recordError("team is missing: name the team that the key is for");
    return body.outcome<OperatorRequestBody>(std::move(requestBody));
}

Result<OperatorRequestBody> parseWithdraw(const HttpRequest &request)
{
    BodyFields body(request);
    WithdrawKeyRequest requestBody{body.text("keyId"), body.text("requestId")};
    return body.outcome<OperatorRequestBody>(std::move(requestBody));
}

Result<OperatorRequestBody> parseDrain(const HttpRequest &request)
{
    BodyFields body(request);
    DrainTargetRequest requestBody;
    requestBody.target = body.text("target");
    requestBody.drain = body.boolean("drain", true);
    return body.outcome<OperatorRequestBody>(std::move(requestBody));
}

Result<OperatorRequestBody> parseEvacuate(const HttpRequest &request)
{
    BodyFields body(request);
    EvacuateDomainRequest requestBody;
    requestBody.failureDomain = body.text("failureDomain");
    requestBody.evacuate = body.boolean("evacuate", true);
    return body.outcome<OperatorRequestBody>(std::move(requestBody));
}

ReplicaMember parseMember(BodyFields &fields)
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
    return body.outcome<OperatorRequestBody>(AddReplicaRequest{parseMember(body)});
}

Result<OperatorRequestBody> parseRemoveReplica(const HttpRequest &request)
{
    BodyFields body(request);
    return body.outcome<OperatorRequestBody>(RemoveReplicaRequest{body.text("instance")});
}

Result<OperatorRequestBody> parseListJobs(const HttpRequest &request)
{
    ListJobsRequest requestBody;
    BOOST_OUTCOME_TRY(atMost, numberParameter(request, "limit", requestBody.atMost));
    constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
    requestBody.team = request.parameter("team");
    requestBody.unfinishedOnly = request.parameter("unfinished") == "true";
    requestBody.atMost = static_cast<std::uint32_t>(std::min(atMost, maxCount));
    return OperatorRequestBody(std::move(requestBody));
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
    FormGroupRequest requestBody;
    for (BodyFields &fields : body.list("members"))
        requestBody.members.push_back(parseMember(fields));
    if (requestBody.members.empty())
        body.recordError("members is empty; name one, three or five replicas");
    return body.outcome<FormGroupRequest>(std::move(requestBody));
}

} // namespace guavavalve
