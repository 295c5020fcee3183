#pragma once

#include "callers/calleridentity.h"
#include "controller/submitrequest.h"
#include "core/error.h"
#include "core/ids.h"

namespace guavavalve {

struct HttpRequest;

/// The job in a caller's request: its body is the payload, the rest stands in headers.
/// \errors InvalidArgument with the header, what was found and what is allowed.
Result<SubmitRequest> parseSubmit(HttpRequest request, const CallerIdentity &caller,
                                  const InstanceId &entry);

/// What makes two requests the same: class, need, tasks, repeatable, times and payload.
std::string submitDigest(const SubmitRequest &request);

} // namespace guavavalve
