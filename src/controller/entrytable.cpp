#include "controller/entrytable.h"

#include <iterator>

namespace guavavalve {

void EntryTable::recordHeartbeat(const EntryInfo &entry)
{
    const std::lock_guard lock(this->mutex);
    this->table[entry.instance] = entry;
}

void EntryTable::expectHeartbeat(const InstanceId &instance, Instant deadAt)
{
    EntryInfo expected;
    expected.instance = instance;
    expected.deadAt = deadAt;
    const std::lock_guard lock(this->mutex);
    this->table.try_emplace(instance, expected);
}

void EntryTable::clear()
{
    const std::lock_guard lock(this->mutex);
    this->table.clear();
}

std::string EntryTable::address(const InstanceId &instance) const
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->table.find(instance);
    return known == this->table.end() ? std::string() : known->second.address;
}

InstanceId EntryTable::pick(const InstanceId &preferred, Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto isAlive = [now](const EntryInfo &entry) {
        return !entry.address.empty() && entry.deadAt > now;
    };
    const auto wanted = this->table.find(preferred);
    if (wanted != this->table.end() && isAlive(wanted->second))
        return preferred;
    auto next = this->table.upper_bound(this->lastPicked);
    for (std::size_t tried = 0; tried < this->table.size(); ++tried) {
        if (next == this->table.end())
            next = this->table.begin();
        if (isAlive(next->second)) {
            this->lastPicked = next->first;
            return next->first;
        }
        ++next;
    }
    return {};
}

std::vector<InstanceId> EntryTable::takeDead(Instant now)
{
    const std::lock_guard lock(this->mutex);
    std::vector<InstanceId> dead;
    for (auto entry = this->table.begin(); entry != this->table.end();) {
        if (entry->second.deadAt > now) {
            ++entry;
            continue;
        }
        dead.push_back(entry->first);
        entry = this->table.erase(entry);
    }
    return dead;
}

std::vector<EntryInfo> EntryTable::entries() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<EntryInfo> all;
    for (const auto &[instance, entry] : this->table)
        all.push_back(entry);
    return all;
}

} // namespace guavavalve
