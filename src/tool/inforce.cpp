#include "tool/inforce.h"

#include "core/clock.h"
#include "tool/toolcontext.h"
#include "tool/toolflags.h"

#include <absl/flags/flag.h>

#include <thread>

namespace guavavalve {

ExitCode thenWait(const ToolContext &context, ExitCode code)
{
    if (code != ExitCode::Done || !absl::GetFlag(FLAGS_wait))
        return code;
    constexpr Milliseconds pause{100};
    const Instant deadline = monotonicNow() + Milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    while (monotonicNow() < deadline) {
        const Result<nlohmann::json> answer =
            context.ask(getRequest("/v1/operators/configuration/in-force"));
        if (!answer)
            return context.fail(answer.error());
        // The controller counts from its newest version, in which this change is.
        if (answer.value()["everywhere"].get<bool>()) {
            context.note("in force on every instance");
            return ExitCode::Done;
        }
        std::this_thread::sleep_for(pause);
    }
    Error error = failure(ErrorCode::Unavailable,
                          "the change is accepted and not yet in force on every instance; "
                          "\"guavavalve config in-force\" shows which are missing");
    error.ran = Ran::Yes;
    return context.fail(error);
}

} // namespace guavavalve
