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
    std::string announcedAddress; ///< "ip:port"; empty: the one listened on
    std::vector<std::string> entries; ///< none: announces nowhere, and has its lease for ever
    std::string failureDomain = "domain-a";
    std::string rack = "rack-1";
    guavavalve::Resources total{{16000, 32768, 0, 8, 64}};
    int runMs = 0;
    std::size_t answerBytes = 0;
    int announceMs = 300;
    std::string ledgerPath;
    guavavalve::Incarnation incarnation = 0; ///< 0: made from the time of day
};

/// A target for tests: keeps the target contract (docs/targets.md) and a ledger of what it
/// started, and can be told by POST /control to break the contract.
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

    /// As POST /control with \a json as its body.
    guavavalve::Result<void> control(const std::string &json);

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace standin
