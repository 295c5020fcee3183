#pragma once

#include "core/error.h"
#include "journal/logindex.h"

#include <string>

namespace guavavalve {

/// The state machine that the replicated log drives. Called by one thread at a time, in log order.
class StateMachine
{
public:
    virtual ~StateMachine() = default;

    /// Applies one committed \a command and returns its encoded result. Must be deterministic: the
    /// same commands in the same order give the same state on every replica.
    virtual std::string apply(LogIndex index, const std::string &command) = 0;

    /// Serialises the whole state in the form that restoreSnapshot() accepts.
    virtual std::string takeSnapshot() = 0;

    /// Replaces the state with that of \a snapshot. On error the state is unchanged.
    virtual Result<void> restoreSnapshot(const std::string &snapshot) = 0;
};

} // namespace guavavalve
