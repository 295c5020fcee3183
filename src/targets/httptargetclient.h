#pragma once

#include "targets/targetclient.h"

#include <cstddef>
#include <memory>

namespace guavavalve {

class TimerQueue;

struct HttpTargetClientOptions
{
    /// Beyond the wait that was asked for: how long a reply may take before its connection is
    /// held for silent.
    Milliseconds replySlack{2000};
    std::size_t maxAnswerBytes = 64U << 20U;
};

/// TargetClient over HTTP (cpprestsdk), with one pool of connections for each target.
///
/// After a timeout the whole pool of that target is replaced: when something between the two
/// ends has lost track of one connection, its idle siblings may be as dead.
class HttpTargetClient : public TargetClient
{
public:
    /// \a timers outlives this.
    HttpTargetClient(TimerQueue &timers, HttpTargetClientOptions options);
    ~HttpTargetClient() override;

    void start(const DispatchOrder &order, Milliseconds wait, Done<AttemptReport> done) override;
    void ask(const std::string &address, AttemptId attempt, Incarnation incarnation,
             Milliseconds wait, Done<AttemptReport> done) override;
    void stop(const std::string &address, AttemptId attempt, Incarnation incarnation,
              Done<AttemptReport> done) override;
    void throttle(const std::string &address, AttemptId attempt, Done<AttemptReport> done) override;
    void checkpoint(const std::string &address, AttemptId attempt,
                    Done<AttemptReport> done) override;

    /// How many pools have been replaced since the start.
    std::size_t poolsReplaced() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
