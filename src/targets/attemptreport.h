#pragma once

#include "core/attemptoutcome.h"

#include <string>

namespace guavavalve {

/// What a target says of one attempt.
struct AttemptReport
{
    bool ended = false; ///< false: it is still running
    AttemptOutcome outcome = AttemptOutcome::Failed; ///< once ended
    std::string answer; ///< whole: length and digest have been checked; of a failure, its message
    std::string answerDigest;
};

} // namespace guavavalve
