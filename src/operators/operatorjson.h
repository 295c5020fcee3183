#pragma once

#include "controller/operatorrequest.h"

#include <nlohmann/json.hpp>

namespace guavavalve {

/// \a reply as the operators' HTTP interface shows it. Identities of jobs and tasks are texts:
/// many readers of JSON keep only 53 bits of a number.
nlohmann::json toJson(const OperatorReply &reply);

nlohmann::json toJson(const ReplicaStatus &status);

} // namespace guavavalve
