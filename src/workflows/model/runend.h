#pragma once

#include "core/clock.h"
#include "core/enumnames.h"
#include "workflows/model/ids.h"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// How a run ended. The order is part of the log format: append new outcomes at the end.
enum class RunOutcome : std::uint8_t {
    Succeeded,
    Failed, ///< through a fault of the task or of its target
    Stopped, ///< stopped by order of the controller
    Lapsed, ///< the lease of its target expired
    Broken, ///< another member of its gang ended
    Alone, ///< the other members of its gang did not start
    Lost, ///< its target's incarnation is over, or its lease expired without an answer
    NeverStarted, ///< the target can no longer start it
    Refused, ///< never started: the target refused it although it had the capacity
    LostEarly, ///< lost soon after the target had started it
};

inline constexpr EnumNames<RunOutcome, 10> runOutcomeNames{{
    {RunOutcome::Succeeded, "succeeded"},
    {RunOutcome::Failed, "failed"},
    {RunOutcome::Stopped, "stopped"},
    {RunOutcome::Lapsed, "lapsed"},
    {RunOutcome::Broken, "broken"},
    {RunOutcome::Alone, "alone"},
    {RunOutcome::Lost, "lost"},
    {RunOutcome::NeverStarted, "never-started"},
    {RunOutcome::Refused, "refused"},
    {RunOutcome::LostEarly, "lost-early"},
}};

/// The end of one run.
struct RunEnd
{
    TaskAddress task;
    RunNumber run = 0;
    RunOutcome outcome = RunOutcome::Lost;
    std::string checkpoint; ///< the newest known; empty: none, and an earlier one is kept
    /// Number of failures after which the task, or its gang, has failed.
    std::uint16_t maxFailures = 1;
    /// Time since the target confirmed the start; not stored. Zero: not known, or not of a whole
    /// run.
    Milliseconds took{0};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->task, this->run, this->outcome, this->checkpoint, this->maxFailures);
    }
};

} // namespace guavavalve::workflows
