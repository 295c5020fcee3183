#pragma once

#include "core/enumnames.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace guavavalve::workflows {

/// What became of one command.
enum class CommandOutcome : std::uint8_t {
    Applied,
    Joined, ///< the workflow was known already, and nothing has changed
    Unchanged, ///< it holds already or is out of date
    Rejected, ///< it does not fit what the book holds, and nothing has changed
};

inline constexpr EnumNames<CommandOutcome, 4> commandOutcomeNames{{
    {CommandOutcome::Applied, "applied"},
    {CommandOutcome::Joined, "joined"},
    {CommandOutcome::Unchanged, "unchanged"},
    {CommandOutcome::Rejected, "rejected"},
}};

using CommandOutcomes = std::vector<CommandOutcome>;

} // namespace guavavalve::workflows
