#pragma once

#include <absl/flags/declare.h>

#include <cstdint>
#include <string>
#include <vector>

// Every flag of the tool. Each command lists the ones that it uses.
ABSL_DECLARE_FLAG(std::vector<std::string>, server);
ABSL_DECLARE_FLAG(std::string, key);
ABSL_DECLARE_FLAG(std::string, output);
ABSL_DECLARE_FLAG(std::int64_t, timeout_ms);
ABSL_DECLARE_FLAG(std::string, request_id);
ABSL_DECLARE_FLAG(std::int64_t, base_version);
ABSL_DECLARE_FLAG(bool, wait);
ABSL_DECLARE_FLAG(std::string, team);
ABSL_DECLARE_FLAG(std::string, role);
ABSL_DECLARE_FLAG(std::string, label);
ABSL_DECLARE_FLAG(bool, unfinished);
ABSL_DECLARE_FLAG(std::int64_t, limit);
ABSL_DECLARE_FLAG(std::string, class);
ABSL_DECLARE_FLAG(std::int64_t, tasks);
ABSL_DECLARE_FLAG(std::int64_t, milli_cores);
ABSL_DECLARE_FLAG(std::int64_t, memory_mb);
ABSL_DECLARE_FLAG(std::int64_t, accelerators);
ABSL_DECLARE_FLAG(std::int64_t, slots);
ABSL_DECLARE_FLAG(std::int64_t, connections);
ABSL_DECLARE_FLAG(bool, repeatable);
ABSL_DECLARE_FLAG(std::int64_t, start_within_ms);
ABSL_DECLARE_FLAG(std::int64_t, finish_within_ms);
ABSL_DECLARE_FLAG(std::int64_t, run_time_ms);
ABSL_DECLARE_FLAG(std::string, page);

namespace guavavalve {

/// The identity of this run's request: the value of --request-id, or a random one.
std::string requestId();

/// The help text of flag \a name, with its default; empty if there is no such flag.
std::string describeFlag(const std::string &name);

} // namespace guavavalve
