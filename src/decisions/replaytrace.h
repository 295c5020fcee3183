#pragma once

#include "core/error.h"
#include "decisions/replayreport.h"

#include <iosfwd>

namespace guavavalve {

/// Runs the events of a trace (see TraceRecorder) against a new scheduler, compares every decision
/// with the recorded one and checks the outcomes that the trace states. A difference is part of
/// the report; an error (InvalidArgument, with the line's number) means that the trace itself
/// cannot be read.
Result<ReplayReport> replayTrace(std::istream &stream);

} // namespace guavavalve
