#pragma once

#include "core/attemptoutcome.h"
#include "decisions/decision.h"
#include "decisions/policy.h"
#include "decisions/targetinfo.h"
#include "decisions/taskrequest.h"

#include <nlohmann/json.hpp>

namespace guavavalve::internal {

using Json = nlohmann::json;

/// JSON encoding of the scheduler's types in traces. The `...From` functions throw the exceptions
/// of nlohmann::json or std::invalid_argument; replayTrace() catches both.
Json toJson(const Resources &resources);
Json toJson(const Policy &policy);
Json toJson(const TargetInfo &target);
Json toJson(const TaskRequest &task);
Json toJson(const Decision &decision);
Json toJson(Instant instant);

Resources resourcesFrom(const Json &json);
Policy policyFrom(const Json &json);
TargetInfo targetFrom(const Json &json);
TaskRequest taskFrom(const Json &json);
Instant instantFrom(const Json &json);
AttemptOutcome outcomeFrom(const Json &json);

} // namespace guavavalve::internal
