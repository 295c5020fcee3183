#pragma once

#include "journal/logentry.h"
#include "journal/logindex.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavavalve {

/// The part of the log that is held in memory: everything after a base entry.
class RaftLog
{
public:
    LogIndex baseIndex() const { return this->base; }
    LogIndex lastIndex() const { return this->base + this->entries.size(); }
    std::uint64_t lastTerm() const { return this->termAt(this->lastIndex()).value_or(0); }
    /// Nothing for an index before the base or after the end.
    std::optional<std::uint64_t> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const;

    void append(LogEntry entry);
    /// Drops \a index and everything after it.
    void truncateFrom(LogIndex index);
    /// Drops everything up to \a index, which becomes the base.
    void compactTo(LogIndex index);
    /// Drops everything; the next entry follows \a index.
    void reset(LogIndex index, std::uint64_t term);

    /// Entries from \a first on, up to \a last, at least one and else at most \a maxBytes.
    std::vector<LogEntry> read(LogIndex first, LogIndex last, std::size_t maxBytes) const;

    std::size_t bytes() const { return this->heldBytes; }

private:
    LogIndex base = 0;
    std::uint64_t baseTerm = 0;
    std::deque<LogEntry> entries;
    std::size_t heldBytes = 0;
};

/// What an entry costs in memory and on the wire, about.
std::size_t entryBytes(const LogEntry &entry);

} // namespace guavavalve
