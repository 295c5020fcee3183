#pragma once

#include "state/outcomearchive.h"
#include "state/requestlog.h"

#include <utility>

namespace guavavalve {

template<typename Archive>
void RequestLog::save(Archive &archive) const
{
    archive(static_cast<std::uint64_t>(this->order.size()));
    for (const std::string &requestId : this->order) {
        const Entry &entry = this->entries.at(requestId);
        archive(requestId, entry.digest, entry.summary, internal::StoredOutcome(entry.outcome));
    }
}

template<typename Archive>
void RequestLog::load(Archive &archive)
{
    std::uint64_t count = 0;
    archive(count);
    if (count > capacity)
        throw cereal::Exception("the request log has more entries than its capacity");
    this->entries.clear();
    this->order.clear();
    for (std::uint64_t i = 0; i < count; ++i) {
        std::string requestId;
        Entry entry;
        internal::StoredOutcome stored;
        archive(requestId, entry.digest, entry.summary, stored);
        entry.outcome = stored.outcome();
        this->add(requestId, std::move(entry));
    }
}

} // namespace guavavalve
