#pragma once

#include "core/enumnames.h"
#include "core/ids.h"

#include <cstdint>
#include <string>

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

/// The known end of an attempt, to be committed before its caller is answered.
struct AttemptEnd
{
    TaskId task = TaskId::None;
    AttemptNumber attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::Failed;
    std::uint64_t answerLength = 0; ///< bytes; the answer itself stays with target and entry
    std::string answerDigest;
    std::string message; ///< of a failure, for a person to read

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->attempt, this->outcome, this->answerLength, this->answerDigest,
                this->message);
    }
};

} // namespace guavavalve
