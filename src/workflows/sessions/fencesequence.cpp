#include "workflows/sessions/fencesequence.h"

#include <cassert>

namespace guavavalve::workflows {

namespace {

constexpr unsigned sequenceBits = 28;
constexpr unsigned termBits = 25;

} // namespace

FenceSequence::FenceSequence(std::uint64_t term)
    : last(term << sequenceBits)
{
    assert(term >> termBits == 0 && "widen termBits: tokens must stay below 2^53");
}

std::uint64_t FenceSequence::next()
{
    ++this->last;
    assert(this->last % (std::uint64_t(1) << sequenceBits) != 0
           && "a controller must start a new term before its tokens run out");
    return this->last;
}

} // namespace guavavalve::workflows
