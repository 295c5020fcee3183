#include "replicas/raftdriver.h"

#include "core/codec.h"

#include <optional>
#include <utility>

// Storing and sending the core's output.

namespace guavavalve::internal {

namespace {

/// Delay before a write that the disk refused is retried.
constexpr Milliseconds storeRetryDelay{100};

Method methodOf(const RaftMessage &message)
{
    if (const auto *vote = std::get_if<VoteRequest>(&message.body))
        return vote->preVote ? Method::PreVote : Method::Vote;
    if (std::holds_alternative<SnapshotRequest>(message.body))
        return Method::InstallSnapshot;
    if (std::holds_alternative<TimeoutNow>(message.body))
        return Method::TimeoutNow;
    return Method::AppendEntries;
}

} // namespace

void RaftDriver::processOutput()
{
    RaftOutput output = this->core->takeOutput();
    while (!output.isEmpty() && !this->hasFailed) {
        this->storeAndSend(std::move(output));
        output = this->core->takeOutput();
    }
    if (!this->hasFailed)
        this->storeUnsaved();
    if (this->hasFailed)
        return;
    this->rejectUnanswered();
    this->transferLeadershipIfDiskFull();
    if (!this->unsaved.holdsSnapshot())
        this->enqueueCommitted();
    this->updateLeadership();
    if (this->unsaved.isEmpty())
        this->takeSnapshotIfDue();
    this->completeMembershipChanges();
    this->admitSpare();
    this->publishStatus();
}

void RaftDriver::storeAndSend(RaftOutput output)
{
    for (const LogEntry &entry : output.batch.entries)
        this->bytesSinceSnapshot += entryBytes(entry);
    if (output.fault) {
        this->fail(*output.fault);
        return;
    }
    // The lease ends before a message is sent that could let another replica lead: a vote, or a
    // TimeoutNow to the successor.
    if (this->core->leaseUntil() == Instant{})
        this->leaseUntil = 0;
    this->unsaved.add(std::move(output), this->outputHooks());
    this->storeUnsaved();
}

UnsavedOutput::Hooks RaftDriver::outputHooks()
{
    UnsavedOutput::Hooks hooks;
    hooks.send = [this](std::vector<OutgoingMessage> &messages) { this->send(messages); };
    hooks.onSnapshotSaved = [this](InstalledSnapshot snapshot) {
        this->bytesSinceSnapshot = 0;
        const LogIndex index = snapshot.meta.index;
        this->applier.push(std::move(snapshot));
        return this->releaseSegments(index);
    };
    return hooks;
}

/// Stores the unsaved output, unless the disk refused a write less than storeRetryDelay ago.
void RaftDriver::storeUnsaved()
{
    if (this->unsaved.isEmpty() || this->options.clock() < this->nextStoreAttempt)
        return;
    const auto stored = this->unsaved.store(*this->storage, this->outputHooks());
    if (!stored && stored.error().code != ErrorCode::WriteRefused) {
        this->fail(stored.error());
        return;
    }
    this->exceedsUnsavedLimit = this->unsaved.bytes() > this->options.maxUnsavedBytes;
    if (stored)
        this->core->persisted();
    else
        this->nextStoreAttempt = this->options.clock() + storeRetryDelay;
    const bool wasRefused = std::exchange(this->isWriteRefused, !stored);
    if (wasRefused != this->isWriteRefused && this->options.onDiskRefusal)
        this->options.onDiskRefusal(stored ? std::nullopt : std::optional<Error>(stored.error()));
}

/// Segments that a full disk refuses to delete are deleted after the next snapshot.
Result<void> RaftDriver::releaseSegments(LogIndex through)
{
    auto released = this->storage->release(through);
    if (!released && released.error().code == ErrorCode::WriteRefused)
        return boost::outcome_v2::success();
    return released;
}

/// Transfers leadership when half of the unsaved limit is reached, while the leader still works.
void RaftDriver::transferLeadershipIfDiskFull()
{
    const bool isLong = this->unsaved.bytes() > this->options.maxUnsavedBytes / 2;
    if (!isLong || this->core->role() != ReplicaRole::Leader || this->core->isTransferring())
        return;
    // If no follower can take over now, the next call tries again.
    (void)this->core->transferLeadership(this->options.clock());
}

void RaftDriver::send(std::vector<OutgoingMessage> &messages)
{
    for (OutgoingMessage &outgoing : messages) {
        if (outgoing.replyTo == 0) {
            this->sendRequest(std::move(outgoing));
            continue;
        }
        const auto reply = this->replies.find(outgoing.replyTo);
        if (reply == this->replies.end())
            continue;
        reply->second(encode(outgoing.message));
        this->replies.erase(reply);
    }
}

void RaftDriver::sendRequest(OutgoingMessage outgoing)
{
    const ReplicaId to = outgoing.message.to;
    if (auto *chunk = std::get_if<SnapshotRequest>(&outgoing.message.body)) {
        auto bytes =
            this->storage->readSnapshot(chunk->meta.index, chunk->offset, outgoing.chunkBytes);
        if (!bytes) {
            this->core->unreachable(to, this->options.clock());
            return;
        }
        chunk->chunk = std::move(bytes).value();
    }
    const bool isFlowControlled = std::holds_alternative<AppendRequest>(outgoing.message.body)
        || std::holds_alternative<SnapshotRequest>(outgoing.message.body);
    const Instant deadline =
        this->options.clock() + (isFlowControlled ? 4 : 1) * this->options.electionMax;
    this->router.messenger().call(
        outgoing.address, methodOf(outgoing.message), encode(outgoing.message), deadline,
        [weak = this->weak_from_this(), to, isFlowControlled](Result<std::string> reply) {
            if (const auto self = weak.lock())
                self->onReply(to, isFlowControlled, std::move(reply));
        });
}

void RaftDriver::onReply(ReplicaId to, bool isFlowControlled, Result<std::string> reply)
{
    if (!reply) {
        if (isFlowControlled)
            this->post([this, to] { this->core->unreachable(to, this->options.clock()); });
        return;
    }
    auto message = decode<RaftMessage>(reply.value());
    if (!message)
        return;
    this->post([this, message = std::move(message).value()]() mutable {
        this->core->receive(std::move(message), 0, this->options.clock());
    });
}

/// Answers the requests that the core dropped, so that their senders need not wait for a timeout.
void RaftDriver::rejectUnanswered()
{
    for (auto &[token, reply] : this->replies)
        reply(failure(ErrorCode::Unavailable, "the replica dropped the message"));
    this->replies.clear();
}

} // namespace guavavalve::internal
