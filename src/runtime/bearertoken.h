#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

struct HttpRequest;

/// Returns the token of the header "Authorization: Bearer TOKEN" (RFC 6750, section 2.1).
/// \errors Unauthenticated if the header is missing or has another form.
Result<std::string> bearerToken(const HttpRequest &request);

} // namespace guavavalve
