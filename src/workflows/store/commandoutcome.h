#pragma once

#include "core/enumnames.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// Outcome of one command.
enum class CommandOutcome : std::uint8_t {
    Applied,
    Joined, ///< the workflow exists already; nothing has changed
    Unchanged, ///< the command is already in effect or out of date
    Rejected, ///< the command conflicts with the stored state, of which no workflow has changed
};

inline constexpr EnumNames<CommandOutcome, 4> commandOutcomeNames{{
    {CommandOutcome::Applied, "applied"},
    {CommandOutcome::Joined, "joined"},
    {CommandOutcome::Unchanged, "unchanged"},
    {CommandOutcome::Rejected, "rejected"},
}};

using CommandOutcomes = std::vector<CommandOutcome>;

} // namespace guavavalve::workflows
