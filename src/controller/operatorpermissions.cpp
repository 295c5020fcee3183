#include "controller/operatorpermissions.h"

#include <string_view>
#include <type_traits>

namespace guavavalve {

namespace {

constexpr std::string_view teamSectionPrefix = "team.";

template<typename Request, typename... Requests>
constexpr bool isOneOf = (std::is_same_v<Request, Requests> || ...);

template<typename Request>
constexpr bool isForOperatorsOnly =
    isOneOf<Request, GrantKeyRequest, WithdrawKeyRequest, DrainTargetRequest, EvacuateDomainRequest,
            AddReplicaRequest, RemoveReplicaRequest>;

Error denied(const std::string &why)
{
    return failure(ErrorCode::PermissionDenied, why);
}

} // namespace

std::string ownerOfNewSection(const std::string &section)
{
    if (section.compare(0, teamSectionPrefix.size(), teamSectionPrefix) == 0)
        return section.substr(teamSectionPrefix.size());
    return "operators";
}

Result<void> checkPermission(const OperatorIdentity &identity, const OperatorRequestBody &body,
                             const std::string &sectionOwner)
{
    if (identity.isOperator)
        return boost::outcome_v2::success();
    const bool operatorsOnly = std::visit(
        [](const auto &value) { return isForOperatorsOnly<std::decay_t<decltype(value)>>; }, body);
    if (operatorsOnly)
        return denied("the request needs an operator's key; the key given is one of team "
                      + identity.team);
    const bool writesForeignSection =
        std::holds_alternative<WriteSectionRequest>(body) && sectionOwner != identity.team;
    if (writesForeignSection)
        return denied("the section is owned by " + sectionOwner + "; the key given is one of team "
                      + identity.team);
    return boost::outcome_v2::success();
}

} // namespace guavavalve
