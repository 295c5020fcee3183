#pragma once

#include "core/done.h"
#include "journal/logentry.h"
#include "journal/snapshotmeta.h"
#include "replicas/installedsnapshot.h"
#include "replicas/statemachine.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace guavavalve::internal {

/// Applies committed entries to the state machine, in log order, on a thread of its own: a slow
/// state machine must not delay the heartbeats that the log's thread sends.
class Applier
{
public:
    struct Batch
    {
        std::vector<LogEntry> entries;
        std::map<LogIndex, Done<std::string>> pendingProposals; ///< proposed here
    };
    struct Leadership
    {
        bool leads = false;
        std::uint64_t term = 0;
    };
    /// Takes a snapshot as of the last applied entry.
    struct TakeSnapshot
    {
        std::function<void(const std::string &state)> done;
    };

    using Work = std::variant<Batch, InstalledSnapshot, Leadership, TakeSnapshot>;

    Applier(StateMachine &stateMachine,
            std::function<void(bool leads, std::uint64_t term)> onLeadership);
    ~Applier();
    Applier(const Applier &) = delete;
    Applier &operator=(const Applier &) = delete;

    /// Starts the thread. \a applied is the last index that the state machine already contains.
    /// \a onProgress is called after each item of work; \a onFault when a snapshot from the leader
    /// cannot be restored, after which the replica has no valid state to continue from.
    void start(LogIndex applied, std::function<void()> onProgress,
               std::function<void(const Error &)> onFault);
    /// Processes the queued work and joins the thread.
    void stop();

    void push(Work work);
    LogIndex applied() const { return this->appliedIndex.load(); }
    std::size_t queuedBytes() const { return this->queued.load(); }

private:
    /// An exception ends the process: the state may be half changed and would differ from the other
    /// replicas'.
    void run() noexcept;
    void handle(Batch &batch);
    void handle(InstalledSnapshot &snapshot);
    void handle(Leadership &leadership);
    void handle(TakeSnapshot &request);

    StateMachine &stateMachine;
    std::function<void(bool leads, std::uint64_t term)> onLeadership;
    std::function<void()> onProgress;
    std::function<void(const Error &)> onFault;
    std::atomic<LogIndex> appliedIndex{0};
    std::atomic<std::size_t> queued{0};
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<Work> queue;
    bool stopping = false;
    std::thread thread;
};

} // namespace guavavalve::internal
