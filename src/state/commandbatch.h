#pragma once

#include "core/error.h"
#include "state/command.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace guavavalve {

/// Maximum size of an encoded CommandBatch, in bytes.
inline constexpr std::size_t maxBatchBytes = std::size_t{16} * 1024 * 1024;

/// An entry of the replicated log. Its commands are applied in order; each is accepted or rejected
/// independently of the others.
struct CommandBatch
{
    std::uint8_t shard = 0; ///< the replica group whose state the batch changes
    std::vector<Command> commands;
};

/// \errors InvalidArgument if the encoded batch would be larger than maxBatchBytes.
Result<std::string> encodeBatch(const CommandBatch &batch);

/// \errors Corrupt if \a bytes are not a complete batch in this format, hold an unknown enumerator
/// or are larger than maxBatchBytes.
Result<CommandBatch> decodeBatch(const std::string &bytes);

} // namespace guavavalve
