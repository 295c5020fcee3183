#pragma once

#include "tool/exitcode.h"

namespace guavavalve {

class ToolContext;

/// After a change that ended with \a code: waits, if --wait asks for it, until no instance goes
/// by an older configuration.
ExitCode thenWait(const ToolContext &context, ExitCode code);

} // namespace guavavalve
