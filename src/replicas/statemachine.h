#pragma once

#include "core/error.h"
#include "journal/logindex.h"

#include <string>

namespace guavavalve {

/// What the replicated log drives. Called by one thread at a time, in the order of the log.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies one committed \a command and returns its outcome, encoded. Deterministic: the
    /// same commands in the same order give the same state on every replica.
    virtual std::string apply(LogIndex index, const std::string &command) = 0;

    /// The whole state as bytes that restoreSnapshot() takes.
    virtual std::string takeSnapshot() = 0;

    /// Replaces the state. An error leaves the state as it was.
    virtual Result<void> restoreSnapshot(const std::string &snapshot) = 0;
};

} // namespace guavavalve
