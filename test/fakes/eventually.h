#pragma once

#include <chrono>
#include <functional>
#include <thread>

namespace fakes {

/// Waits until \a condition holds; false if it does not within a patience that is far longer
/// than anything here takes.
inline bool eventually(const std::function<bool()> &condition)
{
    constexpr std::chrono::seconds patience{30};
    constexpr std::chrono::milliseconds pause{5};
    const auto end = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pause);
    }
    return condition();
}

} // namespace fakes
