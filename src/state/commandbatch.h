#pragma once

#include "core/error.h"
#include "state/command.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// The largest encoded CommandBatch, in bytes.
inline constexpr std::size_t maxBatchBytes = std::size_t{16} * 1024 * 1024;

/// One entry of the replicated log: commands that are applied in order, each accepted or
/// rejected on its own.
struct CommandBatch
{
    std::uint8_t shard = 0; ///< the replica group whose state it changes
    std::vector<Command> commands;
};

/// \errors InvalidArgument if it would be larger than maxBatchBytes.
Result<std::string> encodeBatch(const CommandBatch &batch);

/// \errors Corrupt if the bytes are not a whole batch of this format.
Result<CommandBatch> decodeBatch(const std::string &bytes);

} // namespace guavavalve
