#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/resources.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {
class TimerQueue;
}

namespace standin {

struct StandInOptions
{
    std::string name = "target";
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string announcedAddress; ///< "ip:port"; empty: the address it listens on
    std::vector<std::string> entries; ///< empty: never announces; its lease does not expire
    std::string failureDomain = "domain-a";
    std::string rack = "rack-1";
    guavavalve::Resources total{{16000, 32768, 0, 8, 64}};
    int runMs = 0;
    std::size_t answerBytes = 0;
    int announceMs = 300;
    std::string ledgerPath;
    guavavalve::Incarnation incarnation = 0; ///< 0: derived from the wall clock
};

/// A target for tests. Implements the target contract (docs/targets.md), records its starts in a
/// start log, and can be instructed by POST /control to break the contract.
class StandInTarget
{
public:
    StandInTarget(guavavalve::TimerQueue &timers, StandInOptions options);
    ~StandInTarget();
    StandInTarget(const StandInTarget &) = delete;
    StandInTarget &operator=(const StandInTarget &) = delete;

    guavavalve::Result<void> start();
    std::uint16_t port() const;
    std::string address() const; ///< "ip:port"
    guavavalve::Incarnation incarnation() const;

    /// Same as POST /control with the body \a json.
    /// \errors InvalidArgument if \a json is not an object or a field has the wrong type.
    guavavalve::Result<void> control(const std::string &json);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
