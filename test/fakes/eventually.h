#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace fakes {

/// Polls \a condition until it holds; false if it does not within 30 s, which is far longer than
/// any test needs.
inline bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds timeout{30};
    constexpr std::chrono::milliseconds pollInterval{5};
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return condition();
}

} // namespace fakes
