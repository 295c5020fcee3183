#pragma once

#include "core/error.h"
#include "decisions/ledger.h"
#include "decisions/taskrequest.h"

namespace guavavalve::internal {

/// Whether \a request can be taken. A refusal is true: it says why, and when to come back if that
/// is of use.
Result<void> admit(Ledger &ledger, const TaskRequest &request, Instant now);

/// How long the work that waits now in the team's class takes to start, as it has started lately.
/// Zero: it is not known.
Microseconds expectedWait(const Ledger &ledger, Index team, WorkClass workClass, Instant now);

/// When a refused caller should come back.
Milliseconds retryAfter(const Ledger &ledger, Index team, WorkClass workClass, Instant now);

} // namespace guavavalve::internal
