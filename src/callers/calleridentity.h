#pragma once

#include "core/error.h"

#include <functional>
#include <string>
#include <string_view>

namespace guavavalve {

/// The identity of a caller, taken from its key.
struct CallerIdentity
{
    std::string keyId;
    std::string team;
};

/// Authenticates a request by its bearer token.
/// \errors Unauthenticated if the key is unknown or withdrawn; Unavailable if this instance
/// cannot tell, because its lease from the controller has expired.
using KeyCheck = std::function<Result<CallerIdentity>(std::string_view bearer)>;

} // namespace guavavalve
