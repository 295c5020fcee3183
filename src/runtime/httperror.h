#pragma once

#include "core/error.h"
#include "runtime/httpserver.h"

namespace guavavalve {

/// The HTTP status of a refusal or failure (RFC 9110, section 15).
int httpStatus(const Error &error);

/// \a error as a reply: its status, {error, message, ran, retryAfterMs}, and Retry-After.
HttpResponse errorResponse(const Error &error);

} // namespace guavavalve
