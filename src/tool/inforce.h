#pragma once

#include "tool/exitcode.h"

namespace guavavalve {

class ToolContext;

/// After a change that ended with \a code: if it succeeded and --wait is set, waits until no
/// instance uses an older configuration.
/// \returns \a code, or the error of the wait.
ExitCode waitUntilInForce(const ToolContext &context, ExitCode code);

} // namespace guavavalve
