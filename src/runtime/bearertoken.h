#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

struct HttpRequest;

/// The token of "Authorization: Bearer TOKEN" (RFC 6750, section 2.1).
/// \errors Unauthenticated if there is none.
Result<std::string> bearerToken(const HttpRequest &request);

} // namespace guavavalve
