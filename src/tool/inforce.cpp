#include "tool/inforce.h"

#include "core/clock.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

#include <thread>

namespace guavavalve {

ExitCode waitUntilInForce(const ToolContext &context, ExitCode code)
{
    if (code != ExitCode::Done || !absl::GetFlag(FLAGS_wait))
        return code;
    constexpr Milliseconds pollInterval{100};
    const Instant deadline = monotonicNow() + Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    while (monotonicNow() < deadline) {
        const Result<nlohmann::json> response =
            context.requestJson(getRequest("/v1/operators/configuration/in-force"));
        if (!response)
            return context.fail(response.error());
        // The controller compares with its newest version, which contains this change.
        if (response.value()["everywhere"].get<bool>()) {
            context.note("in force on every instance");
            return ExitCode::Done;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    Error error = failure(ErrorCode::Unavailable,
                          "the change was accepted but is not yet in force on every instance; "
                          "\"guavavalve config in-force\" shows which are missing");
    error.ran = Ran::Yes;
    return context.fail(error);
}

} // namespace guavavalve
