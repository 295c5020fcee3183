#include "runtime/bytebudget.h"

#include <cassert>
#include <utility>

namespace guavavalve {

ByteBudget::Share::Share(std::shared_ptr<ByteBudget> budget, std::size_t bytes)
    : budget(std::move(budget))
    , bytes(bytes)
{}

ByteBudget::Share::~Share()
{
    if (this->budget)
        this->budget->inUse -= this->bytes;
}

ByteBudget::Share::Share(Share &&other) noexcept
    : budget(std::exchange(other.budget, nullptr))
    , bytes(other.bytes)
{}

ByteBudget::Share &ByteBudget::Share::operator=(Share &&other) noexcept
{
    std::swap(this->budget, other.budget);
    std::swap(this->bytes, other.bytes);
    return *this;
}

ByteBudget::ByteBudget(std::size_t limit, std::size_t reserve)
    : limit(limit)
    , reserve(reserve)
{
    assert(reserve <= limit && "the reserve is a part of the limit");
}

std::optional<ByteBudget::Share> ByteBudget::take(std::size_t bytes)
{
    const std::size_t allowed = this->allowed(bytes);
    std::size_t used = this->inUse;
    do {
        if (bytes > allowed || used > allowed - bytes) {
            ++this->refusals;
            this->shortageCount += bytes <= allowed ? 1 : 0;
            return std::nullopt;
        }
    } while (!this->inUse.compare_exchange_weak(used, used + bytes));
    return Share(this->shared_from_this(), bytes);
}

} // namespace guavavalve
