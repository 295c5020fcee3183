#pragma once

#include "core/error.h"
#include "decisions/ledger.h"
#include "decisions/taskrequest.h"

namespace guavavalve::internal {

/// Checks whether \a request can be accepted. The error states the actual cause and, where retrying
/// can help, after how long.
Result<void> admit(Ledger &ledger, const TaskRequest &request, Instant now);

/// Estimates how long the tasks that now wait in the team's class take to start, from the rate of
/// recent starts. Zero if unknown.
Microseconds expectedWait(const Ledger &ledger, Index team, WorkClass workClass, Instant now);

/// The delay after which a refused caller should retry.
Milliseconds retryAfter(const Ledger &ledger, Index team, WorkClass workClass, Instant now);

} // namespace guavavalve::internal
