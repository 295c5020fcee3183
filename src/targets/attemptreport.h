#pragma once

#include "core/attemptoutcome.h"

#include <string>

namespace guavavalve {

/// A target's report on one attempt.
struct AttemptReport
{
    bool ended = false; ///< false while the attempt is running
    AttemptOutcome outcome = AttemptOutcome::Failed; ///< valid once ended
    std::string answer; ///< complete, checked by length and digest; a message if it failed
    std::string answerDigest;
};

} // namespace guavavalve
