#pragma once

#include "core/enumnames.h"

#include <cstdint>

namespace guavavalve {

/// How an attempt ended, as far as an entry could learn.
enum class AttemptOutcome : std::uint8_t {
    Succeeded, ///< ran, and the target holds its whole answer
    Failed, ///< ran, and the target reports a failure
    Stopped, ///< began, and was ended by a stop
    NeverStarted, ///< the connection was refused or the target promises that it never will start
    Lost, ///< the target no longer knows: it ran under an incarnation that is over
};

inline constexpr EnumNames<AttemptOutcome, 5> attemptOutcomeNames{{
    {AttemptOutcome::Succeeded, "succeeded"},
    {AttemptOutcome::Failed, "failed"},
    {AttemptOutcome::Stopped, "stopped"},
    {AttemptOutcome::NeverStarted, "never-started"},
    {AttemptOutcome::Lost, "lost"},
}};

} // namespace guavavalve
