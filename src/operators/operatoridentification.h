#pragma once

#include "controller/operatoridentity.h"
#include "core/error.h"

#include <functional>
#include <optional>
#include <string>

namespace guavavalve {

struct KeyRecord;

/// Finds a key's record in this instance's copy of the configuration, if it is there.
using KeyLookup = std::function<std::optional<KeyRecord>(const std::string &keyId)>;

/// Who holds \a token: a key of the configuration, or "cluster-secret:SECRET", which is whoever
/// knows the cluster's own secret and is an operator before there are any keys.
/// \errors Unauthenticated; the same for an unknown, withdrawn or wrong key, so that guesses
/// learn nothing.
Result<OperatorIdentity> identifyOperator(const std::string &token,
                                          const std::string &clusterSecret,
                                          const KeyLookup &lookup);

} // namespace guavavalve
