#include "replicas/applier.h"

#include "replicas/raftlog.h"

#include <utility>

namespace guavavalve::internal {

namespace {

std::size_t batchBytes(const Applier::Work &work)
{
    std::size_t bytes = 0;
    if (const auto *batch = std::get_if<Applier::Batch>(&work)) {
        for (const LogEntry &entry : batch->entries)
            bytes += entryBytes(entry);
    }
    return bytes;
}

} // namespace

Applier::Applier(StateMachine &machine,
                 std::function<void(bool leads, std::uint64_t term)> leadershipHook)
    : stateMachine(machine)
    , onLeadership(std::move(leadershipHook))
{}

Applier::~Applier()
{
    this->stop();
}

void Applier::start(LogIndex applied, std::function<void()> progressHook,
                    std::function<void(const Error &)> faultHook)
{
    this->appliedIndex = applied;
    this->onProgress = std::move(progressHook);
    this->onFault = std::move(faultHook);
    this->thread = std::thread([this] { this->run(); });
}

void Applier::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void Applier::push(Work work)
{
    this->queued += batchBytes(work);
    {
        const std::lock_guard lock(this->mutex);
        this->queue.push_back(std::move(work));
    }
    this->changed.notify_one();
}

void Applier::run() noexcept
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->changed.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
        if (this->queue.empty())
            return;
        Work work = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        const std::size_t bytes = batchBytes(work);
        std::visit([this](auto &item) { this->handle(item); }, work);
        this->queued -= bytes;
        this->onProgress();
        lock.lock();
    }
}

void Applier::handle(Batch &batch)
{
    for (const LogEntry &entry : batch.entries) {
        std::string outcome;
        if (entry.kind == EntryKind::Command)
            outcome = this->stateMachine.apply(entry.index, entry.payload);
        this->appliedIndex = entry.index;
        const auto pending = batch.pendingProposals.find(entry.index);
        if (pending != batch.pendingProposals.end())
            pending->second(std::move(outcome));
    }
}

void Applier::handle(InstalledSnapshot &snapshot)
{
    if (auto restored = this->stateMachine.restoreSnapshot(snapshot.state); !restored) {
        this->onFault(restored.error());
        return;
    }
    this->appliedIndex = snapshot.meta.index;
}

void Applier::handle(Leadership &leadership)
{
    if (this->onLeadership)
        this->onLeadership(leadership.leads, leadership.term);
}

void Applier::handle(TakeSnapshot &request)
{
    request.done(this->stateMachine.takeSnapshot());
}

} // namespace guavavalve::internal
