#pragma once

#include "workflows/store/commands/acceptworkflow.h"
#include "workflows/store/commands/cancelunknown.h"
#include "workflows/store/commands/cancelworkflow.h"
#include "workflows/store/commands/endruns.h"
#include "workflows/store/commands/evacuatedomain.h"
#include "workflows/store/commands/forgetincarnation.h"
#include "workflows/store/commands/forgetworkflows.h"
#include "workflows/store/commands/markincarnationalive.h"
#include "workflows/store/commands/markincarnationcrashed.h"
#include "workflows/store/commands/placeruns.h"
#include "workflows/store/commands/recordqueues.h"
#include "workflows/store/commands/recordspeeds.h"
#include "workflows/store/commands/registerincarnation.h"
#include "workflows/store/commands/resizeincarnation.h"
#include "workflows/store/commands/setincarnationdraining.h"
#include "workflows/store/commands/storedocument.h"

#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <variant>
#include <vector>

namespace guavavalve::workflows {

/// One change of the workflow store. The order of the alternatives is part of the log format:
/// append new ones at the end.
using Command =
    std::variant<AcceptWorkflow, CancelWorkflow, PlaceRuns, EndRuns, RegisterIncarnation,
                 ForgetIncarnation, StoreDocument, ForgetWorkflows, SetIncarnationDraining,
                 EvacuateDomain, MarkIncarnationCrashed, MarkIncarnationAlive, ResizeIncarnation,
                 RecordSpeeds, RecordQueues, CancelUnknown>;

/// Commands that form one log entry. An empty batch is a read barrier.
using CommandBatch = std::vector<Command>;

} // namespace guavavalve::workflows
