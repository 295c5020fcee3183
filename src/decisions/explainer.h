#pragma once

#include "decisions/decisionlog.h"
#include "decisions/explanation.h"
#include "decisions/ledger.h"

namespace guavavalve::internal {

/// Why \a task is where it is, from the books and the decisions that are still kept.
Explanation explainTask(const Ledger &ledger, const DecisionLog &log, TaskId task);

} // namespace guavavalve::internal
