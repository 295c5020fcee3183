#include "replicas/raftlog.h"

#include <cassert>
#include <utility>

namespace guavavalve {

std::size_t entryBytes(const LogEntry &entry)
{
    return sizeof(LogEntry) + entry.payload.size();
}

std::optional<std::uint64_t> RaftLog::termAt(LogIndex index) const
{
    if (index == this->base)
        return this->baseTerm;
    if (index < this->base || index > this->lastIndex())
        return std::nullopt;
    return this->at(index).term;
}

const LogEntry &RaftLog::at(LogIndex index) const
{
    assert(index > this->base && index <= this->lastIndex()
           && "the index must be that of an entry in memory");
    return this->entries[index - this->base - 1];
}

void RaftLog::append(LogEntry entry)
{
    assert(entry.index == this->lastIndex() + 1 && "entries must be appended without gaps");
    this->heldBytes += entryBytes(entry);
    this->entries.push_back(std::move(entry));
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty()) {
        this->heldBytes -= entryBytes(this->entries.back());
        this->entries.pop_back();
    }
}

void RaftLog::compactTo(LogIndex index)
{
    while (this->base < index && !this->entries.empty()) {
        this->heldBytes -= entryBytes(this->entries.front());
        this->baseTerm = this->entries.front().term;
        ++this->base;
        this->entries.pop_front();
    }
}

void RaftLog::reset(LogIndex index, std::uint64_t term)
{
    this->entries.clear();
    this->heldBytes = 0;
    this->base = index;
    this->baseTerm = term;
}

std::vector<LogEntry> RaftLog::read(LogIndex first, LogIndex last, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = first; index <= last && index <= this->lastIndex(); ++index) {
        const LogEntry &entry = this->at(index);
        bytes += entryBytes(entry);
        if (!result.empty() && bytes > maxBytes)
            break;
        result.push_back(entry);
    }
    return result;
}

} // namespace guavavalve
