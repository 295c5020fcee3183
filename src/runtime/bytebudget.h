#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace guavavalve {

/// Bounds the memory that all requests in progress of a process take together, so that no number of
/// connections, each within its own limits, exceeds the memory of the machine. Thread-safe.
class ByteBudget : public std::enable_shared_from_this<ByteBudget>
{
public:
    /// A part of the budget, given back on destruction.
    class Share
    {
    public:
        Share(std::shared_ptr<ByteBudget> budget, std::size_t bytes);
        ~Share();
        Share(Share &&other) noexcept;
        Share &operator=(Share &&other) noexcept;
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

    private:
        std::shared_ptr<ByteBudget> budget; ///< null after a move
        std::size_t bytes;
    };

    /// \a reserve: the part of \a limit that only requests of up to smallRequest may take, so that
    /// reports and changes of the configuration pass while large requests are refused.
    ByteBudget(std::size_t limit, std::size_t reserve);

    /// None if too much is in use.
    std::optional<Share> take(std::size_t bytes);

    /// False if \a bytes are too many even if nothing else is in use.
    bool canHold(std::size_t bytes) const { return bytes <= this->allowed(bytes); }

    std::size_t used() const { return this->inUse; }
    std::uint64_t refused() const { return this->refusals; }
    /// Refusals of what would have fitted beside less.
    std::uint64_t shortages() const { return this->shortageCount; }

    static constexpr std::size_t smallRequest = std::size_t{256} << 10U; ///< bytes

private:
    std::size_t allowed(std::size_t bytes) const
    {
        return bytes <= smallRequest ? this->limit : this->limit - this->reserve;
    }

    const std::size_t limit;
    const std::size_t reserve;
    std::atomic<std::size_t> inUse{0};
    std::atomic<std::uint64_t> refusals{0};
    std::atomic<std::uint64_t> shortageCount{0};
};

} // namespace guavavalve
