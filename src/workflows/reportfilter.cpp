#include "workflows/reportfilter.h"

#include "workflows/controller.h"

#include <cstddef>
#include <functional>
#include <iterator>
#include <string>

namespace guavavalve::workflows {

namespace {

/// What has not been repeated for this long after it could have been is dropped.
constexpr Milliseconds keepFor{30000};

bool isCold(const TargetReport &report)
{
    return report.coldFor > Milliseconds(0);
}

} // namespace

bool ReportFilter::isRepetition(const TargetReport &report, Instant now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->known.find(report.identity.name);
    return found != this->known.end() && now < found->second.passAt
        && found->second.isReady == report.isReady && found->second.isCold == isCold(report)
        && found->second.identity == report.identity;
}

void ReportFilter::acknowledged(const TargetReport &report, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->note(report, now + passInterval, now);
}

/// Guards against the reports of all targets that reach a controller at once after a restart of all
/// instances: they pass one after the other within the interval. Only once for each target: an
/// instance that does not reach the controller must not go on answering for it.
bool ReportFilter::acknowledgeStored(const TargetReport &report, Instant now)
{
    const auto spread = std::hash<std::string>()(report.identity.name)
        % static_cast<std::size_t>(passInterval.count());
    const std::lock_guard lock(this->mutex);
    if (this->known.count(report.identity.name) != 0)
        return false;
    this->note(report, now + Milliseconds(spread), now);
    return true;
}

/// Under the lock.
void ReportFilter::note(const TargetReport &report, Instant passAt, Instant now)
{
    this->known[report.identity.name] = {report.identity, report.isReady, isCold(report), passAt};
    this->dropOld(now);
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

/// Guards against a table that grows by every target that ever was.
void ReportFilter::dropOld(Instant now)
{
    if (now < this->nextDrop)
        return;
    this->nextDrop = now + keepFor;
    for (auto one = this->known.begin(); one != this->known.end();)
        one = one->second.passAt + keepFor < now ? this->known.erase(one) : std::next(one);
}

} // namespace guavavalve::workflows
