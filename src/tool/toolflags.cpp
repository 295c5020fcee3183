#include "tool/toolflags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <random>

ABSL_FLAG(std::vector<std::string>, server, {"127.0.0.1:7080"},
          "entry instances, as ip:port separated by commas; tried in this order");
ABSL_FLAG(std::string, key, "",
          "API key, KEYID:SECRET; the default is the environment variable GUAVAVALVE_KEY");
ABSL_FLAG(std::string, output, "table", "table (for people) or json (for programs)");
ABSL_FLAG(std::int64_t, timeout_ms, 30000,
          "how long to wait for the response of one server, in ms");
ABSL_FLAG(std::string, request_id, "",
          "identity of the request; give that of an earlier run to learn its outcome");
ABSL_FLAG(std::int64_t, base_version, -1, "version to replace; the default is the current version");
ABSL_FLAG(bool, wait, false,
          "wait until the job has finished, or the change is in force on every instance");
ABSL_FLAG(std::string, team, "", "name of a team");
ABSL_FLAG(std::string, role, "team", "role of the key: team or operator");
ABSL_FLAG(std::string, label, "", "description of the key");
ABSL_FLAG(bool, unfinished, false, "only jobs that have not finished");
ABSL_FLAG(std::int64_t, limit, 100, "maximum number of rows to list");
ABSL_FLAG(std::string, class, "prompt", "prompt, service, batch or gang");
ABSL_FLAG(std::int64_t, tasks, 1, "number of tasks of the job");
ABSL_FLAG(std::int64_t, milli_cores, 0, "thousandths of a core for each task");
ABSL_FLAG(std::int64_t, memory_mb, 0, "memory for each task, in MB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators for each task");
ABSL_FLAG(std::int64_t, slots, 1, "slots for each task");
ABSL_FLAG(std::int64_t, connections, 1, "connections for each task");
ABSL_FLAG(bool, repeatable, true, "--norepeatable: run each task at most once");
ABSL_FLAG(std::int64_t, start_within_ms, 0, "latest start after submission, in ms; 0: no deadline");
ABSL_FLAG(std::int64_t, finish_within_ms, 0, "latest end after submission, in ms; 0: no deadline");
ABSL_FLAG(std::int64_t, run_time_ms, 0, "declared run time, in ms; 0: not declared");
ABSL_FLAG(std::string, page, "", "also write the findings to this file, as an HTML page");

namespace guavavalve {

std::string requestId()
{
    std::string given = absl::GetFlag(FLAGS_request_id);
    if (!given.empty())
        return given;
    constexpr int digits = 24;
    constexpr const char *alphabet = "0123456789abcdef";
    std::random_device randomDevice;
    std::uniform_int_distribution<std::size_t> digit(0, 15);
    std::string generated = "tool-";
    for (int i = 0; i < digits; ++i)
        generated.push_back(alphabet[digit(randomDevice)]);
    // Stored, so that a command that sends several requests uses one identity.
    absl::SetFlag(&FLAGS_request_id, generated);
    return generated;
}

std::string describeFlag(const std::string &name)
{
    const absl::CommandLineFlag *flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr)
        return "";
    std::string shown = name;
    std::replace(shown.begin(), shown.end(), '_', '-');
    std::string text = "  --" + shown + "  " + flag->Help();
    const std::string value = flag->DefaultValue();
    if (!value.empty())
        text += " [" + value + "]";
    return text + "\n";
}

} // namespace guavavalve
