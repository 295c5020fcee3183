#include "workflows/reports/reportfilter.h"

#include "workflows/controller/controller.h"

#include <cstddef>
#include <functional>
#include <iterator>
#include <string>

namespace guavavalve::workflows {

namespace {

/// Entries whose target has not reported for this long after its next report was due are dropped.
constexpr Milliseconds entryTimeout{30000};

bool isCold(const TargetReport &report)
{
    return report.coldFor > Milliseconds(0);
}

} // namespace

bool ReportFilter::isRepetition(const TargetReport &report, Instant now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->known.find(report.identity.name);
    return found != this->known.end() && now < found->second.forwardAt
        && found->second.isReady == report.isReady && found->second.isCold == isCold(report)
        && found->second.identity == report.identity;
}

void ReportFilter::acknowledged(const TargetReport &report, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->record(report, now + forwardInterval, now);
}

/// Guards against the reports of all targets reaching a controller at once after a restart of all
/// instances: they are forwarded one after the other within the interval. This applies only once to
/// each target, because an instance that does not reach the controller must not keep answering on
/// its behalf.
bool ReportFilter::acknowledgeStored(const TargetReport &report, Instant now)
{
    const auto spread = std::hash<std::string>()(report.identity.name)
        % static_cast<std::size_t>(forwardInterval.count());
    const std::lock_guard lock(this->mutex);
    if (this->known.count(report.identity.name) != 0)
        return false;
    this->record(report, now + Milliseconds(spread), now);
    return true;
}

/// Requires that the mutex is locked.
void ReportFilter::record(const TargetReport &report, Instant forwardAt, Instant now)
{
    this->known[report.identity.name] = {report.identity, report.isReady, isCold(report),
                                         forwardAt};
    this->dropStale(now);
}

void ReportFilter::forget(const std::string &targetName)
{
    const std::lock_guard lock(this->mutex);
    this->known.erase(targetName);
}

std::size_t ReportFilter::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->known.size();
}

/// Guards against a table that grows with every target that ever reported.
void ReportFilter::dropStale(Instant now)
{
    if (now < this->nextDrop)
        return;
    this->nextDrop = now + entryTimeout;
    for (auto it = this->known.begin(); it != this->known.end();)
        it = it->second.forwardAt + entryTimeout < now ? this->known.erase(it) : std::next(it);
}

} // namespace guavavalve::workflows
