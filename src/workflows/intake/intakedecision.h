#pragma once

#include "core/clock.h"
#include "core/enumnames.h"

#include <cstddef>
#include <cstdint>

namespace guavavalve::workflows {

enum class IntakeVerdict : std::uint8_t {
    Accept,
    Refuse, ///< and guarantee to the caller that the workflow does not run
    TooOld, ///< the instance that forwarded the request has given it up; nothing is known of it
    OtherTerm, ///< stamped for another controller, which may have refused it; nothing is known
};

inline constexpr EnumNames<IntakeVerdict, 4> intakeVerdictNames{{
    {IntakeVerdict::Accept, "accept"},
    {IntakeVerdict::Refuse, "refuse"},
    {IntakeVerdict::TooOld, "too-old"},
    {IntakeVerdict::OtherTerm, "other-term"},
}};

/// Why a request was refused.
enum class IntakeCause : std::uint8_t {
    None,
    BeyondShare, ///< the queue is overloaded, and the account has more than its share
    TooLate, ///< the result would be of no use any more
    StoreFull, ///< the store has its maximum of unfinished workflows
    Evacuated, ///< all targets of its queue are in evacuated failure domains
    Repeat, ///< sent before the refusal of another attempt of the same request
};

inline constexpr std::size_t intakeCauseCount = 6;

inline constexpr EnumNames<IntakeCause, intakeCauseCount> intakeCauseNames{{
    {IntakeCause::None, "none"},
    {IntakeCause::BeyondShare, "beyond-share"},
    {IntakeCause::TooLate, "too-late"},
    {IntakeCause::StoreFull, "store-full"},
    {IntakeCause::Evacuated, "evacuated"},
    {IntakeCause::Repeat, "repeat"},
}};

struct IntakeDecision
{
    IntakeVerdict verdict = IntakeVerdict::Accept;
    IntakeCause cause = IntakeCause::None;
    Milliseconds expectedWait{0}; ///< until the first task starts
    Milliseconds retryAfter{0}; ///< for a refused request
};

} // namespace guavavalve::workflows
