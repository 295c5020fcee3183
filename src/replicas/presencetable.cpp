#include "replicas/presencetable.h"

#include <utility>

namespace guavavalve {

namespace {

constexpr std::size_t maxEntries = 4096; ///< more than the instances of one group
constexpr Milliseconds entryLifetime{60000};
constexpr Milliseconds expiryInterval{1000};

} // namespace

PresenceTable::PresenceTable(Clock clock)
    : clock(std::move(clock))
{}

void PresenceTable::record(const PresenceReport &report)
{
    const Instant now = this->clock();
    const std::lock_guard lock(this->mutex);
    if (now >= this->nextExpiry || this->entries.size() >= maxEntries)
        this->dropExpired(now);
    if (this->entries.size() < maxEntries || this->entries.count(report.instance) != 0)
        this->entries[report.instance] = {report, now};
}

/// Requires that the mutex is locked. Not done for each report: the reports of all instances come
/// to one table, so that the cost would grow with the square of their number.
void PresenceTable::dropExpired(Instant now)
{
    this->nextExpiry = now + expiryInterval;
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool isExpired = now > entry->second.receivedAt + entryLifetime;
        entry = isExpired ? this->entries.erase(entry) : std::next(entry);
    }
}

std::vector<PresenceReport> PresenceTable::present(Milliseconds maxAge) const
{
    const Instant now = this->clock();
    const std::lock_guard lock(this->mutex);
    std::vector<PresenceReport> found;
    for (const auto &[instance, entry] : this->entries) {
        if (now <= entry.receivedAt + maxAge)
            found.push_back(entry.report);
    }
    return found;
}

} // namespace guavavalve
