#include "controller/targetleases.h"

namespace guavavalve {

void TargetLeases::renew(TargetId target, Instant lapse)
{
    const auto [known, isNew] = this->lapseOf.try_emplace(target, lapse);
    if (!isNew) {
        if (known->second >= lapse)
            return;
        this->byLapse.erase({known->second, target});
        known->second = lapse;
    }
    this->byLapse.emplace(lapse, target);
}

void TargetLeases::forget(TargetId target)
{
    const auto known = this->lapseOf.find(target);
    if (known == this->lapseOf.end())
        return;
    this->byLapse.erase({known->second, target});
    this->lapseOf.erase(known);
}

void TargetLeases::clear()
{
    this->lapseOf.clear();
    this->byLapse.clear();
}

std::vector<TargetId> TargetLeases::takeLapsed(Instant now)
{
    std::vector<TargetId> lapsed;
    while (!this->byLapse.empty() && this->byLapse.begin()->first <= now) {
        const TargetId target = this->byLapse.begin()->second;
        lapsed.push_back(target);
        this->forget(target);
    }
    return lapsed;
}

} // namespace guavavalve
