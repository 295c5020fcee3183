#include "controller/controllerclock.h"

#include <cstdlib>

namespace guavavalve {

namespace {

/// Maximum difference in speed between the clocks of two machines: each may be slewed by 500 parts
/// per million.
constexpr std::int64_t maxDriftPerMillion = 1000;
constexpr std::int64_t million = 1000000;

} // namespace

void ControllerClock::answerReceived(std::uint64_t answeredTerm, std::int64_t controllerUs,
                                     Instant arrived)
{
    const std::int64_t offset = controllerUs - arrived.time_since_epoch().count();
    const std::lock_guard lock(this->mutex);
    if (answeredTerm < this->term)
        return; // a late answer of an earlier controller
    if (answeredTerm == this->term && offset < this->offsetAt(arrived))
        return; // delayed more than the one that counts
    this->term = answeredTerm;
    this->offsetUs = offset;
    this->measuredAt = arrived;
}

void ControllerClock::reset()
{
    const std::lock_guard lock(this->mutex);
    this->term = 0;
}

CallStamp ControllerClock::stamp(Instant receivedAt) const
{
    return this->stamp(receivedAt, receivedAt);
}

CallStamp ControllerClock::stamp(Instant receivedAt, Instant sentNotBefore) const
{
    const std::lock_guard lock(this->mutex);
    if (this->term == 0)
        return {};
    return {this->term, receivedAt.time_since_epoch().count() + this->offsetAt(receivedAt),
            sentNotBefore.time_since_epoch().count() + this->offsetAt(sentNotBefore)};
}

/// The measured offset less the drift that the clocks may have had between then and \a now.
std::int64_t ControllerClock::offsetAt(Instant now) const
{
    const std::int64_t age = std::abs((now - this->measuredAt).count());
    return this->offsetUs - age * maxDriftPerMillion / million;
}

} // namespace guavavalve
