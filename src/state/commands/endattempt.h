#pragma once

#include "core/attemptoutcome.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

namespace guavavalve {

/// Records the known end of an attempt, and so frees its place. A resend is harmless.
/// \errors NotFound; Conflict if \a attempt is not the current one or has ended otherwise.
struct EndAttempt
{
    T; ///< a
    A; ///< t
    A; ///< t
    std::uint64_t answerLength = 0; ///< bytes
    s; ///< t
    std::string message; ///< of a failure, for a person to read
    std::int64_t endedAt = 0; ///< cell time in ms, for retention only

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->T, this->A, this->A, this->answerLength, this->s, this->message,
                this->endedAt);
    }
};

} // namespace guavavalve
