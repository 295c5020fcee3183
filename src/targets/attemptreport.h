#pragma once

#include "core/attemptoutcome.h"

#include <string>

namespace guavavalve {

/// A target's report on one attempt.
struct AttemptReport
{
    bool ended = false; ///< false while the attempt is running
    AttemptOutcome outcome = AttemptOutcome::Failed; ///< valid once ended
    /// The complete answer, verified by length and digest, or an error message if the attempt
    /// failed.
    std::string answer;
    std::string answerDigest;
};

} // namespace guavavalve
