#pragma once

#include "core/error.h"

#include <string>

namespace guavavalve {

struct HttpRequest;
struct HttpResponse;

/// The HTTP status that stands for \a code (RFC 9110, RFC 6585).
int httpStatus(ErrorCode code);

/// \a error as every package answers it: status, a JSON object with code, message and whether
/// work may have begun, and Retry-After in whole seconds when there is use in coming back.
HttpResponse errorResponse(const Error &error);

/// The token of "Authorization: Bearer TOKEN".
/// \errors Unauthenticated if there is none.
Result<std::string> bearerToken(const HttpRequest &request);

} // namespace guavavalve
