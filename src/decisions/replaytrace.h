#pragma once

#include "core/error.h"
#include "decisions/replayreport.h"

#include <iosfwd>

namespace guavavalve {

/// Replays the events of a trace (see TraceRecorder) on a new scheduler, compares every decision
/// with the recorded one and checks the outcomes that the trace expects. Differences are part of
/// the report; an error (InvalidArgument, with the line number) means that the trace itself cannot
/// be read.
Result<ReplayReport> replayTrace(std::istream &stream);

} // namespace guavavalve
