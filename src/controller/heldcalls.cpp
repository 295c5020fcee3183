#include "controller/heldcalls.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace guavavalve {

HeldCalls::HeldCalls()
    : HeldCalls(Options())
{}

HeldCalls::HeldCalls(Options options)
    : options(options)
{}

bool HeldCalls::hold(Call &call, Instant now)
{
    const bool isFull = this->calls.size() >= this->options.maxCalls
        || this->bytes + call.bytes > this->options.maxBytes;
    if (isFull || call.deadline <= now + this->options.reserve)
        return false;
    this->bytes += call.bytes;
    const Instant giveUpAt =
        std::min(call.deadline - this->options.reserve, now + this->options.maxHold);
    this->calls.emplace(giveUpAt, std::move(call));
    return true;
}

std::vector<HeldCalls::Call> HeldCalls::takeExpired(Instant now)
{
    std::vector<Call> expired;
    while (!this->calls.empty() && this->calls.begin()->first <= now)
        expired.push_back(this->take(this->calls.begin()));
    return expired;
}

std::optional<HeldCalls::Call> HeldCalls::takeNext()
{
    if (this->calls.empty() || this->inFlight >= this->options.maxInFlight)
        return std::nullopt;
    ++this->inFlight;
    return this->take(std::prev(this->calls.end()));
}

void HeldCalls::ended()
{
    assert(this->inFlight > 0 && "call ended() once for each call of takeNext()");
    --this->inFlight;
}

HeldCalls::Call HeldCalls::take(std::multimap<Instant, Call>::iterator which)
{
    Call call = std::move(which->second);
    this->calls.erase(which);
    this->bytes -= call.bytes;
    return call;
}

} // namespace guavavalve
