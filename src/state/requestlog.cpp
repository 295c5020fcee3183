#include "state/requestlog.h"

#include <utility>

namespace guavavalve {

const RequestLog::Entry *RequestLog::find(const std::string &requestId) const
{
    const auto found = this->entries.find(requestId);
    return found == this->entries.end() ? nullptr : &found->second;
}

void RequestLog::add(const std::string &requestId, Entry entry)
{
    if (!this->entries.emplace(requestId, std::move(entry)).second)
        return;
    this->order.push_back(requestId);
    if (this->order.size() > capacity) {
        this->entries.erase(this->order.front());
        this->order.pop_front();
    }
}

} // namespace guavavalve
