#pragma once

#include "controller/operatorhooks.h"

#include <string>

namespace guavavalve {

class CellController;
class ClusterStateMachine;

/// The hooks by which the operators' service reaches \a controller, all of which must outlive it.
OperatorHooks operatorHooks(CellController &controller, ClusterStateMachine &state,
                            ReplicatedLog &log, std::string clusterSecret);

} // namespace guavavalve
