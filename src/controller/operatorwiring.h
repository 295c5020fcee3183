#pragma once

#include "controller/operatorhooks.h"

#include <string>

namespace guavavalve {

class CellController;
class ClusterStateMachine;

/// The hooks that connect an OperatorService with \a controller. The referenced objects must
/// outlive the service.
OperatorHooks operatorHooks(CellController &controller, ClusterStateMachine &state,
                            ReplicatedLog &log, std::string clusterSecret);

} // namespace guavavalve
