#pragma once

#include "controller/cellcontroller.h"
#include "controller/clusterstatemachine.h"
#include "replicas/inmemorylog.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace guavavalve {

/// A controller over a log of one replica, with a team "mills" and its key "k1".
class ControllerFixture
{
public:
    explicit ControllerFixture(std::int64_t leaseMs = 400,
                               Milliseconds unresponsiveAfter = Milliseconds(60000));
    ~ControllerFixture();

    /// Runs \a call with a Done and waits for the result that is passed to it.
    template<typename T>
    Result<T> await(const std::function<void(Done<T>)> &call)
    {
        auto promise = std::make_shared<std::promise<Result<T>>>();
        call([promise](Result<T> result) { promise->set_value(std::move(result)); });
        auto future = promise->get_future();
        if (future.wait_for(std::chrono::seconds(30)) != std::future_status::ready)
            return failure(ErrorCode::Internal, "no result within 30 s");
        return future.get();
    }

    Result<SubmitReply> submit(const SubmitRequest &request);
    Result<JobStatus> awaitEnd(JobId job);
    Result<AnnouncementReply> announce(const Announcement &announcement);
    Result<SyncReply> synchronise(const InstanceId &entry);
    Result<Nothing> end(const DispatchOrder &order, AttemptOutcome outcome);

    static SubmitRequest request(const std::string &idempotencyKey);
    static Announcement target(const std::string &name, Incarnation incarnation = 1);

    /// Waits until an order for which \a matches returns true has been sent to \a entry.
    bool waitForOrder(const InstanceId &entry,
                      const std::function<bool(const DispatchOrder &)> &matches);
    /// Polls \a condition until it holds.
    static bool waitUntil(const std::function<bool()> &condition);

    ClusterStateMachine state;
    InMemoryLog log{state};
    std::atomic<int> observedWaits{0};
    CellController controller;

private:
    void apply(Command command);

    std::mutex mutex;
    std::vector<std::pair<std::string, DispatchOrder>> sent;
};

} // namespace guavavalve
