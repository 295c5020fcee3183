#pragma once

#include "core/error.h"
#include "runtime/httpserver.h"

namespace guavavalve {

/// The HTTP status of a refusal or failure (RFC 9110, section 15).
int httpStatus(const Error &error);

/// Tells the caller in \a response when to come back, in whole seconds (RFC 9110, section 10.2.3);
/// nothing if \a retryAfterMs is 0.
void setRetryAfter(HttpResponse &response, std::int64_t retryAfterMs);

/// \a error as a reply: its status, {error, message, ran, retryAfterMs}, and Retry-After.
HttpResponse errorResponse(const Error &error);

} // namespace guavavalve
