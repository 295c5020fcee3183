#pragma once

#include "core/enumnames.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace guavavalve {

/// Why an instance should get no new requests from the balancer.
enum class NotReadyReason : std::uint8_t {
    Starting,
    ShuttingDown,
    NoConfigurationLease,
    NoController,
    Overloaded,
};

inline constexpr EnumNames<NotReadyReason, 5> notReadyReasonNames{{
    {NotReadyReason::Starting, "starting"},
    {NotReadyReason::ShuttingDown, "shutting-down"},
    {NotReadyReason::NoConfigurationLease, "no-configuration-lease"},
    {NotReadyReason::NoController, "no-controller"},
    {NotReadyReason::Overloaded, "overloaded"},
}};

/// Whether this instance takes requests. Safe from any thread.
///
/// Conditions are evaluated when asked and not remembered: a process that was frozen past its
/// lease, and wakes, must not say "ready" from before.
class Readiness
{
public:
    /// True while the instance can take requests as far as the condition can tell.
    using Condition = std::function<bool()>;

    /// Adds a condition; \a reason is given while it does not hold.
    void addCondition(NotReadyReason reason, Condition holds);

    /// Ends the state Starting, which is the first.
    void started();

    /// Not ready from now on, for good.
    void beginShutdown();

    /// Why the instance is not ready; empty when it is.
    std::vector<NotReadyReason> reasons() const;

    bool isReady() const { return this->reasons().empty(); }

private:
    mutable std::mutex mutex;
    bool starting = true;
    bool shuttingDown = false;
    std::vector<std::pair<NotReadyReason, Condition>> conditions;
};

} // namespace guavavalve
