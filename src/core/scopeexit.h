#pragma once

#include <functional>
#include <utility>

namespace guavavalve {

/// Runs an action at the end of its scope, also if an exception leaves it.
class ScopeExit
{
public:
    /// \a action must not throw.
    explicit ScopeExit(std::function<void()> action)
        : action(std::move(action))
    {}
    ~ScopeExit() { this->action(); }
    ScopeExit(const ScopeExit &) = delete;
    ScopeExit &operator=(const ScopeExit &) = delete;

private:
    std::function<void()> action;
};

} // namespace guavavalve
