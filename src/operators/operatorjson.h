#pragma once

#include "controller/operatorrequest.h"

#include <nlohmann/json.hpp>

namespace guavavalve {

/// Converts \a reply to the JSON of the operators' HTTP interface. Job and task numbers are
/// strings, because many JSON parsers keep only 53 bits of a number.
nlohmann::json toJson(const OperatorReply &reply);

nlohmann::json toJson(const ReplicaStatus &status);

} // namespace guavavalve
