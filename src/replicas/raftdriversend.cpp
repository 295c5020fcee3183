#include "replicas/raftdriver.h"

#include "core/codec.h"

#include <utility>

// What the core wants stored and sent.

namespace guavavalve::internal {

namespace {

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

void RaftDriver::pump()
{
    RaftOutput output = this->core->takeOutput();
    while (!output.isEmpty() && !this->hasFailed) {
        this->carryOut(std::move(output));
        output = this->core->takeOutput();
    }
    if (this->hasFailed)
        return;
    this->answerLeftovers();
    this->handOutCommitted();
    this->watchLeadership();
    this->considerSnapshot();
    this->settleMembers();
    this->replaceGoneVoter();
    this->publish();
}

void RaftDriver::carryOut(RaftOutput output)
{
    if (output.fault) {
        this->fail(*output.fault);
        return;
    }
    // Before anything is sent that could let another lead: a vote, or a successor's call.
    if (this->core->leaseUntil() == Instant{})
        this->leaseUntil = 0;
    this->send(output.beforeSync);
    if (output.snapshot) {
        const InstalledSnapshot &snapshot = *output.snapshot;
        if (auto saved = this->storage->saveSnapshot(snapshot.meta, snapshot.state); !saved) {
            this->fail(saved.error());
            return;
        }
    }
    if (!output.batch.isEmpty()) {
        for (const LogEntry &entry : output.batch.entries)
            this->bytesSinceSnapshot += entryBytes(entry);
        if (auto written = this->storage->write(output.batch); !written) {
            this->fail(written.error());
            return;
        }
    }
    if (output.snapshot) {
        this->bytesSinceSnapshot = 0;
        const LogIndex index = output.snapshot->meta.index;
        this->applier.push(std::move(*output.snapshot));
        if (auto released = this->storage->release(index); !released) {
            this->fail(released.error());
            return;
        }
    }
    this->core->persisted();
    this->send(output.afterSync);
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
    if (auto *piece = std::get_if<SnapshotRequest>(&outgoing.message.body)) {
        auto bytes =
            this->storage->readSnapshot(piece->meta.index, piece->offset, outgoing.pieceBytes);
        if (!bytes) {
            this->core->unreachable(to, this->options.clock());
            return;
        }
        piece->piece = std::move(bytes).value();
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

/// A request that the core dropped gets an answer too, so that the sender need not wait.
void RaftDriver::answerLeftovers()
{
    for (auto &[token, reply] : this->replies)
        reply(failure(ErrorCode::Unavailable, "the replica could not use the message"));
    this->replies.clear();
}

} // namespace guavavalve::internal
