#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace guavavalve {

/// Kinds of resource that targets provide and tasks require.
enum class ResourceKind : std::uint8_t { MilliCores, MemoryMb, Accelerators, Slots, Connections };

inline constexpr std::size_t resourceKindCount = 5;

inline constexpr std::array<std::string_view, resourceKindCount> resourceKindNames{
    "milliCores", "memoryMb", "accelerators", "slots", "connections"};

/// An amount of each kind of resource, as provided by a target or required by a task.
struct Resources
{
    std::array<std::int64_t, resourceKindCount> amounts{};

    constexpr std::int64_t &operator[](ResourceKind kind)
    {
        return this->amounts[static_cast<std::size_t>(kind)];
    }
    constexpr std::int64_t operator[](ResourceKind kind) const
    {
        return this->amounts[static_cast<std::size_t>(kind)];
    }

    Resources &operator+=(const Resources &other)
    {
        for (std::size_t i = 0; i < resourceKindCount; ++i)
            this->amounts[i] += other.amounts[i];
        return *this;
    }
    Resources &operator-=(const Resources &other)
    {
        for (std::size_t i = 0; i < resourceKindCount; ++i)
            this->amounts[i] -= other.amounts[i];
        return *this;
    }

    /// Adds \a amount \a times; negative: subtracts it.
    void addTimes(const Resources &amount, std::int64_t times)
    {
        for (std::size_t i = 0; i < resourceKindCount; ++i)
            this->amounts[i] += times * amount.amounts[i];
    }

    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }
    friend bool operator==(const Resources &a, const Resources &b)
    {
        return a.amounts == b.amounts;
    }
    friend bool operator!=(const Resources &a, const Resources &b) { return !(a == b); }

    /// True if no amount exceeds that of \a capacity.
    bool fitsInto(const Resources &capacity) const
    {
        for (std::size_t i = 0; i < resourceKindCount; ++i) {
            if (this->amounts[i] > capacity.amounts[i])
                return false;
        }
        return true;
    }

    /// True if no amount is negative.
    bool isNonNegative() const
    {
        return std::all_of(this->amounts.begin(), this->amounts.end(),
                           [](std::int64_t amount) { return amount >= 0; });
    }

    /// The largest ratio of an amount to that of \a total, over the kinds that \a total provides
    /// (the dominant share of DRF, Ghodsi et al., 2011).
    double dominantShare(const Resources &total) const
    {
        double share = 0.0;
        for (std::size_t i = 0; i < resourceKindCount; ++i) {
            if (total.amounts[i] > 0) {
                share = std::max(share,
                                 static_cast<double>(this->amounts[i])
                                     / static_cast<double>(total.amounts[i]));
            }
        }
        return share;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        for (std::int64_t &amount : this->amounts)
            archive(amount);
    }
};

} // namespace guavavalve
