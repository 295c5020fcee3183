#pragma once

/// \file
/// The scheduler: pure and deterministic. It maps timestamped events to decisions.

#include "core/attemptoutcome.h"
#include "decisions/decision.h"
#include "decisions/explanation.h"
#include "decisions/fairscheduler.h"
#include "decisions/firstfitscheduler.h"
#include "decisions/policy.h"
#include "decisions/reason.h"
#include "decisions/replaytrace.h"
#include "decisions/scheduler.h"
#include "decisions/shardedscheduler.h"
#include "decisions/statistics.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"
#include "decisions/tracerecorder.h"
