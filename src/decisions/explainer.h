#pragma once

#include "decisions/decisionlog.h"
#include "decisions/explanation.h"
#include "decisions/ledger.h"

namespace guavavalve::internal {

/// Explains the state of \a task from the ledger and the decisions that are still logged.
Explanation explainTask(const Ledger &ledger, const DecisionLog &log, TaskId task);

} // namespace guavavalve::internal
