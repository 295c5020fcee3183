#pragma once

#include "core/error.h"

#include <functional>
#include <string>
#include <string_view>

namespace guavavalve {

/// Who a caller is, as its key says.
struct CallerIdentity
{
    std::string keyId;
    std::string team;
};

/// Checks the bearer token of a request.
/// \errors Unauthenticated if the key is unknown or withdrawn; Unavailable if this instance
/// cannot know, because it has heard from no controller within its lease.
using KeyCheck = std::function<Result<CallerIdentity>(std::string_view bearer)>;

} // namespace guavavalve
