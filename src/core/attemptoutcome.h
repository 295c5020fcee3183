#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// How an attempt ended, as far as the entry instance could determine.
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< ran, and the target holds the complete answer
    Failed, ///< ran, and the target reported a failure
    Stopped, ///< started, and was then stopped on request
    NeverStarted, ///< the connection was refused, or the target guarantees that it never starts
    Lost, ///< unknown to the target: it ran under an earlier incarnation
};

inline constexpr EnumNames<AttemptOutcome, 5> attemptOutcomeNames{{
    {AttemptOutcome::Succeeded, "succeeded"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::Stopped, "stopped"},
    {AttemptOutcome::NeverStarted, "never-started"},
    {AttemptOutcome::Lost, "lost"},
}};

} // namespace guavavalve
