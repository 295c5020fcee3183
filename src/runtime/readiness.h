#pragma once

#include "core/enumnames.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace guavavalve {

/// Why the load balancer should send an instance no new requests.
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

/// Whether this instance can serve requests. Thread-safe.
///
/// Conditions are evaluated at each call and never cached: a process that was suspended until after
/// its lease had expired must not report an earlier "ready" when it resumes.
class Readiness
{
public:
    /// Returns whether the instance can serve requests, as far as this condition is concerned.
    using Condition = std::function<bool()>;

    /// Adds a condition; \a reason is reported while it does not hold.
    void addCondition(NotReadyReason reason, Condition holds);

    /// Marks the instance as started; until then the reason Starting is reported.
    void started();

    /// Reports ShuttingDown from now on. Cannot be undone.
    void beginShutdown();

    /// The reasons why the instance is not ready; empty if it is ready.
    std::vector<NotReadyReason> reasons() const;

    bool isReady() const { return this->reasons().empty(); }

private:
    mutable std::mutex mutex;
    bool starting = true;
    bool shuttingDown = false;
    std::vector<std::pair<NotReadyReason, Condition>> conditions;
};

} // namespace guavavalve
