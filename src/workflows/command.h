#pragma once

#include "workflows/commands/acceptworkflow.h"
#include "workflows/commands/cancelworkflow.h"
#include "workflows/commands/endruns.h"
#include "workflows/commands/evacuatedomain.h"
#include "workflows/commands/forgetincarnation.h"
#include "workflows/commands/forgetworkflows.h"
#include "workflows/commands/markincarnationalive.h"
#include "workflows/commands/markincarnationcrashed.h"
#include "workflows/commands/placeruns.h"
#include "workflows/commands/registerincarnation.h"
#include "workflows/commands/resizeincarnation.h"
#include "workflows/commands/setincarnationdraining.h"
#include "workflows/commands/storedocument.h"

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
                 EvacuateDomain, MarkIncarnationCrashed, MarkIncarnationAlive, ResizeIncarnation>;

/// Commands that form one log entry. An empty batch is a read barrier.
using CommandBatch = std::vector<Command>;

} // namespace guavavalve::workflows
