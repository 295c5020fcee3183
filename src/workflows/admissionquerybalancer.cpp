#include "workflows/admissionquerybalancer.h"

#include <algorithm>

namespace guavavalve::workflows {

namespace {

/// Questions are short up to this: those of steps that are over within a second take 10 to 25 ms.
constexpr Milliseconds shortQuestion{40};
/// And long from here: between those about single tasks (up to 150 ms) and about gangs (from 500).
constexpr Milliseconds longQuestion{200};
/// One in so many instances is kept for short questions alone. All the short ones together take
/// one to two instances of 14, and of 43.
constexpr std::size_t partForShort = 6;
/// One in so many is kept from long questions.
constexpr std::size_t partWithoutLong = 3;
/// An instance that failed to answer is not asked for this long.
constexpr Milliseconds failedPause{2000};
/// Questions under way from one instance, below the 32 that the service lets wait.
constexpr std::size_t maxUnderWay = 20;
/// As long as it has answered none.
constexpr std::size_t maxUnproved = 2;
/// An answer that comes this much later than it should is overdue: a slow instance adds 50 ms.
constexpr Milliseconds overdueAfter{100};
/// Work that one instance may have waiting at the service: what comes later is better decided then.
constexpr Milliseconds longestQueue{800};

/// Instances at the head of a list of \a count that are kept from a question.
///
/// Guards against a short question that waits behind long ones on every instance: steps of 0.8 s
/// waited for up to 0.7 s while all instances had a question of half a second under way, and in a
/// full cell of 350 targets for 1 s behind questions of 0.14 s.
std::size_t keptFrom(Milliseconds expected, std::size_t count)
{
    if (expected > longQuestion)
        return count / partWithoutLong;
    return expected > shortQuestion ? count / partForShort : 0;
}

} // namespace

/// Guards against an instance that is gone or stands still while it is still held for present: a
/// new controller had fifteen steps asked about by its predecessor, which had been frozen, and each
/// waited 0.6 s for an answer that could not come.
bool AdmissionQueryBalancer::mayAsk(const Load &load, Instant now)
{
    const std::size_t most = load.hasAnswered ? maxUnderWay : maxUnproved;
    const bool isOverdue = load.underWay > 0 && now > load.busyUntil + overdueAfter;
    return load.underWay < most && !isOverdue && load.busyUntil <= now + longestQueue;
}

std::optional<InstanceId> AdmissionQueryBalancer::choose(const std::vector<InstanceId> &instances,
                                                         Milliseconds expected, Instant now)
{
    std::optional<InstanceId> best;
    Instant bestFreeAt{};
    for (std::size_t i = keptFrom(expected, instances.size()); i < instances.size(); ++i) {
        const Load &load = this->loads[instances[i]];
        if (!AdmissionQueryBalancer::mayAsk(load, now))
            continue;
        const Instant freeAt = std::max(now, load.busyUntil);
        if (!best || freeAt < bestFreeAt) {
            best = instances[i];
            bestFreeAt = freeAt;
        }
    }
    if (best) {
        Load &load = this->loads[*best];
        load.busyUntil = bestFreeAt + expected;
        ++load.underWay;
    }
    return best;
}

Instant AdmissionQueryBalancer::busyUntil(const InstanceId &instance) const
{
    const auto found = this->loads.find(instance);
    return found == this->loads.end() ? Instant{} : found->second.busyUntil;
}

void AdmissionQueryBalancer::answered(const InstanceId &instance, bool hasFailed, Instant now)
{
    Load &load = this->loads[instance];
    load.underWay -= load.underWay > 0 ? 1 : 0;
    load.hasAnswered = !hasFailed;
    if (hasFailed)
        load.busyUntil = now + failedPause;
}

} // namespace guavavalve::workflows
