#include <catch2/catch.hpp>

#include "core/codec.h"
#include "replicas/raftcore.h"

using namespace guavavalve;

namespace {

constexpr std::uint64_t formation = 5;

ReplicaId replica(std::uint64_t number)
{
    return static_cast<ReplicaId>(number);
}

MemberList threeMembers()
{
    MemberList list;
    list.formation = formation;
    for (std::uint64_t number = 1; number <= 3; ++number)
        list.members.push_back({std::to_string(number), replica(number), "address", true});
    return list;
}

/// Replica 1 after a restart, in term 3, with an entry of term 2 that was never committed.
RaftCore coreWithUncommittedEntry()
{
    RecoveredState state;
    state.replica = replica(1);
    state.hardState = {3, ReplicaId::None, formation};
    state.entries.push_back({1, 1, EntryKind::Members, encode(threeMembers())});
    state.entries.push_back({2, 2, EntryKind::Command, "old"});
    RaftCoreOptions options;
    options.instance = "1";
    options.random = [] { return std::uint64_t{0}; };
    return RaftCore(std::move(options), state, Instant{});
}

void deliverReply(RaftCore &core, std::uint64_t term, RaftBody body, Instant now,
                  std::uint64_t from = 2)
{
    RaftMessage message;
    message.formation = formation;
    message.from = replica(from);
    message.to = replica(1);
    message.term = term;
    message.body = std::move(body);
    core.receive(std::move(message), 0, now);
    core.takeOutput();
    core.persisted();
}

} // namespace

// An entry of an earlier term is on a majority, but another replica with a later entry could still
// be elected and overwrite it (2014 paper, figure 8). If it were reported as committed, an
// acknowledged command could be lost.
TEST_CASE("an entry of an earlier term commits only through an entry of the leader's own term",
          "[raft]")
{
    RaftCore core = coreWithUncommittedEntry();
    const Instant now{Milliseconds(400)};
    core.tick(now);
    core.takeOutput();
    core.persisted();
    deliverReply(core, 3, VoteReply{true, true, 4}, now);
    deliverReply(core, 4, VoteReply{false, true, 4}, now);
    REQUIRE(core.role() == ReplicaRole::Leader);
    REQUIRE(core.firstIndexOfTerm() == 3);

    AppendReply matched;
    matched.accepted = true;
    matched.matchIndex = 2;
    deliverReply(core, 4, matched, now);
    CHECK(core.committed() == 0);
    matched.matchIndex = 3;
    deliverReply(core, 4, matched, now);
    CHECK(core.committed() == 3);
}

// A replica restarts during an election and is asked for its vote again. It must remember its vote;
// otherwise two replicas could become leader in the same term.
TEST_CASE("a replica votes only once per term even across a restart", "[raft]")
{
    RecoveredState state;
    state.replica = replica(1);
    state.hardState = {7, replica(2), formation};
    state.entries.push_back({1, 1, EntryKind::Members, encode(threeMembers())});
    RaftCoreOptions options;
    options.random = [] { return std::uint64_t{0}; };
    RaftCore core(std::move(options), state, Instant{});
    const auto grantsVote = [&](std::uint64_t from) {
        RaftMessage message;
        message.formation = formation;
        message.from = replica(from);
        message.to = replica(1);
        message.term = 7;
        message.body = VoteRequest{false, false, 7, 1, 1};
        core.receive(std::move(message), 1, Instant{Milliseconds(5000)});
        return std::get<VoteReply>(core.takeOutput().afterSync.at(0).message.body).granted;
    };
    CHECK_FALSE(grantsVote(3));
    CHECK(grantsVote(2));
}

// The leader's own disk is slow: its copy of an entry counts towards the quorum only after it has
// been synced.
TEST_CASE("a leader's own copy counts only once it is synced", "[raft]")
{
    RaftCore core = coreWithUncommittedEntry();
    const Instant now{Milliseconds(400)};
    core.tick(now);
    core.takeOutput();
    core.persisted();
    deliverReply(core, 3, VoteReply{true, true, 4}, now);
    deliverReply(core, 4, VoteReply{false, true, 4}, now);
    AppendReply matched;
    matched.accepted = true;
    matched.matchIndex = 3;
    deliverReply(core, 4, matched, now);
    REQUIRE(core.committed() == 3);
    REQUIRE(core.propose("new"));
    core.takeOutput(); // sent, but not yet synced by the leader
    RaftMessage message;
    message.formation = formation;
    message.from = replica(2);
    message.to = replica(1);
    message.term = 4;
    matched.matchIndex = 4;
    message.body = matched;
    core.receive(std::move(message), 0, now);
    CHECK(core.committed() == 3);
    core.persisted();
    CHECK(core.committed() == 4);
}

// A leader appends its own removal and is killed before the other replicas have the entry; one of
// them is lost as well. The leader has the longest log, so no other replica can win an election: it
// must campaign once more, without counting its own vote, or the group never has a leader again.
TEST_CASE("a voter whose removal is not committed campaigns without counting its own vote",
          "[raft]")
{
    RecoveredState state;
    state.replica = replica(1);
    state.hardState = {3, ReplicaId::None, formation};
    MemberList without = threeMembers();
    without.members.erase(without.members.begin());
    state.entries.push_back({1, 1, EntryKind::Members, encode(threeMembers())});
    state.entries.push_back({2, 2, EntryKind::Members, encode(without)});
    RaftCoreOptions options;
    options.random = [] { return std::uint64_t{0}; };
    RaftCore core(std::move(options), state, Instant{});
    const Instant now{Milliseconds(400)};
    core.tick(now);
    CHECK(core.takeOutput().afterSync.size() == 2);
    deliverReply(core, 3, VoteReply{true, true, 4}, now, 2);
    CHECK(core.term() == 3);
    deliverReply(core, 3, VoteReply{true, true, 4}, now, 3);
    CHECK(core.term() == 4);
    deliverReply(core, 4, VoteReply{false, true, 4}, now, 2);
    CHECK(core.role() != ReplicaRole::Leader);
    deliverReply(core, 4, VoteReply{false, true, 4}, now, 3);
    CHECK(core.role() == ReplicaRole::Leader);
}
