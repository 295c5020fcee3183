#include "workflows/reportfilter.h"

#include "workflows/controller.h"

#include <iterator>

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
    this->known[report.identity.name] = {report.identity, report.isReady, isCold(report),
                                         now + passInterval};
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
