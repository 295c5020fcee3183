#include "controller/operatorpermissions.h"

#include <string_view>
#include <type_traits>

namespace guavavalve {

namespace {

constexpr std::string_view teamSectionPrefix = "team.";

template<typename Question, typename... Questions>
constexpr bool isOneOf = (std::is_same_v<Question, Questions> || ...);

template<typename Question>
constexpr bool isForOperatorsOnly =
    isOneOf<Question, GrantKeyRequest, WithdrawKeyRequest, DrainTargetRequest,
            EvacuateDomainRequest, AddReplicaRequest, RemoveReplicaRequest>;

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

Result<void> checkPermission(const OperatorIdentity &identity, const OperatorRequestBody &question,
                             const std::string &sectionOwner)
{
    if (identity.isOperator)
        return boost::outcome_v2::success();
    const bool operatorsOnly = std::visit(
        [](const auto &value) { return isForOperatorsOnly<std::decay_t<decltype(value)>>; },
        question);
    if (operatorsOnly)
        return denied("this needs an operator's key, and yours is one of team " + identity.team);
    const bool writesForeign =
        std::holds_alternative<WriteSectionRequest>(question) && sectionOwner != identity.team;
    if (writesForeign)
        return denied("the section is owned by " + sectionOwner + ", and your key is one of team "
                      + identity.team);
    return boost::outcome_v2::success();
}

} // namespace guavavalve
