#pragma once

#include "controller/operatoridentity.h"
#include "core/error.h"
#include "state/keyrecord.h"

#include <functional>
#include <string>

namespace guavavalve {

/// Looks up the key that \a token belongs to in this instance's copy of the configuration.
/// \errors Unauthenticated if there is no such key.
using KeyIdentification = std::function<Result<KeyRecord>(const std::string &token)>;

/// The identity that \a token proves: that of a key in the configuration or, for
/// "cluster-secret:SECRET", an operator who knows the cluster's secret. The latter also works
/// before any keys exist.
/// \errors Unauthenticated if \a token is neither.
Result<OperatorIdentity> identifyOperator(const std::string &token,
                                          const std::string &clusterSecret,
                                          const KeyIdentification &identifyKey);

} // namespace guavavalve
