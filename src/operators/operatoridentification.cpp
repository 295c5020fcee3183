#include "operators/operatoridentification.h"

#include "controller/operatorservice.h"
#include "state/keyrecord.h"
#include "state/keysecret.h"

namespace guavavalve {

namespace {

/// Compares hashes and not the secrets: equal lengths and constant time come with it.
bool isClusterSecret(const KeyToken &token, const std::string &clusterSecret)
{
    const auto expected = hashSecret({token.keyId, clusterSecret}, clusterSecret);
    return expected && secretMatches(token, clusterSecret, expected.value());
}

} // namespace

Result<OperatorIdentity> identifyOperator(const std::string &token,
                                          const std::string &clusterSecret, const KeyLookup &lookup)
{
    BOOST_OUTCOME_TRY(shown, parseToken(token));
    const Error refused = failure(ErrorCode::Unauthenticated,
                                  "the key is unknown, withdrawn or not written as it was granted");
    if (shown.keyId == OperatorService::clusterKeyId) {
        if (!isClusterSecret(shown, clusterSecret))
            return refused;
        return OperatorIdentity{shown.keyId, "", true};
    }
    const std::optional<KeyRecord> key = lookup(shown.keyId);
    if (!key || key->withdrawn || !secretMatches(shown, clusterSecret, key->keyedHash))
        return refused;
    return OperatorIdentity{key->id, key->team, key->role == KeyRole::Operator};
}

} // namespace guavavalve
