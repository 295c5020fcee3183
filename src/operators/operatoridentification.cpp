#include "operators/operatoridentification.h"

#include "controller/operatorservice.h"

#include <sodium.h>

namespace guavavalve {

namespace {

/// The time that the comparison takes does not reveal where the two strings differ, so a secret
/// cannot be guessed byte by byte from response times.
bool equalInConstantTime(const std::string &left, const std::string &right)
{
    return left.size() == right.size()
        && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

Result<OperatorIdentity> identifyOperator(const std::string &token,
                                          const std::string &clusterSecret,
                                          const KeyIdentification &identifyKey)
{
    const std::string clusterToken =
        std::string(OperatorService::clusterKeyId) + ":" + clusterSecret;
    if (equalInConstantTime(token, clusterToken))
        return OperatorIdentity{OperatorService::clusterKeyId, "", true};
    BOOST_OUTCOME_TRY(key, identifyKey(token));
    return OperatorIdentity{key.id, key.team, key.role == KeyRole::Operator};
}

} // namespace guavavalve
