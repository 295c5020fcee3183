#pragma once

#include "targets/targetclient.h"

#include <cstddef>
#include <memory>

namespace guavavalve {

class TimerQueue;

struct HttpTargetClientOptions
{
    /// How long a reply may take beyond the requested wait before the connection counts as
    /// unresponsive.
    Milliseconds replySlack{2000};
    std::size_t maxAnswerBytes = 64U << 20U;
};

/// TargetClient over HTTP (cpprestsdk), with one connection pool per target.
///
/// After a timeout the target's whole pool is replaced: if a device on the network path has lost
/// the state of one connection, the idle ones in the pool may be dead as well.
class HttpTargetClient : public TargetClient
{
public:
    /// \a timers must outlive this object.
    HttpTargetClient(TimerQueue &timers, HttpTargetClientOptions options);
    ~HttpTargetClient() override;

    void start(const DispatchOrder &order, Milliseconds wait, Done<AttemptReport> done) override;
    void query(const std::string &address, AttemptId attempt, Incarnation incarnation,
               Milliseconds wait, Done<AttemptReport> done) override;
    void stop(const std::string &address, AttemptId attempt, Incarnation incarnation,
              Done<AttemptReport> done) override;
    void throttle(const std::string &address, AttemptId attempt, Done<AttemptReport> done) override;
    void checkpoint(const std::string &address, AttemptId attempt,
                    Done<AttemptReport> done) override;

    /// Number of pools replaced so far.
    std::size_t poolsReplaced() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace guavavalve
