#pragma once

#include "controller/operatoridentity.h"
#include "core/error.h"
#include "state/keyrecord.h"

#include <functional>
#include <string>

namespace guavavalve {

/// The record of the key that \a token is, by this instance's copy of the configuration.
/// \errors Unauthenticated.
using KeyIdentification = std::function<Result<KeyRecord>(const std::string &token)>;

/// Who holds \a token: a key of the configuration, or "cluster-secret:SECRET", which is whoever
/// knows the cluster's own secret and is an operator before there are any keys.
/// \errors Unauthenticated.
Result<OperatorIdentity> identifyOperator(const std::string &token,
                                          const std::string &clusterSecret,
                                          const KeyIdentification &identifyKey);

} // namespace guavavalve
