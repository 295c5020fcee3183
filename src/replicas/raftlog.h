#pragma once

#include "journal/logentry.h"
#include "journal/logindex.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace guavavalve {

/// The in-memory part of the log: all entries after the base index.
class RaftLog
{
public:
    LogIndex baseIndex() const { return this->base; }
    LogIndex lastIndex() const { return this->base + this->entries.size(); }
    std::uint64_t lastTerm() const { return this->termAt(this->lastIndex()).value_or(0); }
    /// Empty for an index before the base or after the last entry.
    std::optional<std::uint64_t> termAt(LogIndex index) const;
    const LogEntry &at(LogIndex index) const;

    void append(LogEntry entry);
    /// Removes the entry at \a index and all later ones.
    void truncateFrom(LogIndex index);
    /// Removes the entries up to and including \a index, which becomes the base.
    void compactTo(LogIndex index);
    /// Removes all entries; the next one appended follows \a index.
    void reset(LogIndex index, std::uint64_t term);

    /// Entries from \a first to \a last: at most \a maxBytes, but at least one entry if there is
    /// any.
    std::vector<LogEntry> read(LogIndex first, LogIndex last, std::size_t maxBytes) const;

    std::size_t bytes() const { return this->heldBytes; }

private:
    LogIndex base = 0;
    std::uint64_t baseTerm = 0;
    std::deque<LogEntry> entries;
    std::size_t heldBytes = 0;
};

/// The approximate size of an entry in memory and on the wire.
std::size_t entryBytes(const LogEntry &entry);

} // namespace guavavalve
