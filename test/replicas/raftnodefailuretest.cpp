#include <catch2/catch.hpp>

#include "singlereplica.h"
#include "testgroup.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <vector>

using namespace guavavalve;

namespace {

void startAndForm(TestGroup &group, const std::vector<std::string> &names)
{
    for (const std::string &name : names)
        REQUIRE(group.start(name));
    const auto formed = group.form(names.front(), names);
    INFO((formed ? "" : formed.error().message));
    REQUIRE(formed);
    REQUIRE(group.waitForLeader() != nullptr);
}

bool isVoter(const ReplicaStatus &status, const std::string &instance)
{
    return std::any_of(status.members.begin(), status.members.end(), [&](const auto &member) {
        return member.instance == instance && member.voter;
    });
}

std::string followerOf(TestGroup &group)
{
    const std::string leader = group.waitForLeader()->name;
    for (const auto &[name, instance] : group.instances) {
        if (name != leader)
            return name;
    }
    return {};
}

} // namespace

// A sync fails. The contents of the disk are unknown from then on, so the replica must report that
// the process has to stop, and must acknowledge nothing more.
TEST_CASE("a failed sync stops the replica and acknowledges nothing", "[raftnode]")
{
    SingleReplica replica(ErrorCode::Unavailable);
    replica.setFailing(true);
    replica.propose("lost");
    CHECK(waitFor([&] { return replica.storageFailures == 1; }));
    CHECK_FALSE(replica.node->holdsLeaderLease());
    replica.propose("later");
    CHECK(waitFor([&] { return replica.ended == 1; }));
    replica.node->stop();
    CHECK(replica.ended == 2);
    CHECK(replica.acknowledged == 0);
    CHECK(replica.machine.commands().empty());
}

TEST_CASE("a follower rejects commands immediately and names the leader", "[raftnode]")
{
    TestGroup group;
    startAndForm(group, {"a", "b", "c"});
    const std::string leader = group.waitForLeader()->name;
    const std::string follower = followerOf(group);
    REQUIRE(waitFor([&] { return group.at(follower).node->status().leader == leader; }));
    const auto outcome = await<std::string>(
        [&](Done<std::string> done) { group.at(follower).node->propose("x", std::move(done)); });
    REQUIRE(outcome.has_error());
    CHECK(outcome.error().code == ErrorCode::NotLeader);
    CHECK(outcome.error().ran == Ran::No);
    CHECK(outcome.error().message.find(leader) != std::string::npos);
}

// Commands keep arriving while there is no quorum. They must not accumulate without bound: beyond
// the limit they are rejected immediately and are not proposed.
TEST_CASE("commands that cannot be queued are rejected with Ran::No", "[raftnode]")
{
    TestGroup group([](RaftOptions &options) { options.maxQueuedProposals = 10; });
    startAndForm(group, {"a", "b", "c"});
    TestInstance *leader = group.waitForLeader();
    for (const char *name : {"a", "b", "c"}) {
        if (name != leader->name)
            group.stop(name);
    }
    std::atomic<int> refused{0};
    std::atomic<int> ended{0};
    for (int i = 0; i < 50; ++i) {
        leader->node->propose("x", [&](const Result<std::string> &outcome) {
            const bool isFull = outcome.has_error()
                && outcome.error().code == ErrorCode::Unavailable && outcome.error().ran == Ran::No;
            refused += isFull ? 1 : 0;
            ++ended;
        });
    }
    CHECK(refused >= 40);
    // The rest fail when the leader steps down because it has no quorum.
    CHECK(waitFor([&] { return ended == 50; }));
    CHECK_FALSE(leader->node->holdsLeaderLease());
}

TEST_CASE("members are added and removed while commands are proposed", "[raftnode]")
{
    TestGroup group;
    startAndForm(group, {"a", "b", "c"});
    REQUIRE(group.propose("one"));
    REQUIRE(group.start("d"));
    const auto added = await<Nothing>([&](Done<Nothing> done) {
        group.waitForLeader()->node->addMember(group.member("d"), std::move(done));
    });
    REQUIRE(added);
    CHECK(isVoter(group.waitForLeader()->node->status(), "d"));
    REQUIRE(group.propose("two"));
    CHECK(group.haveAllApplied(2));
    const std::string leaving = followerOf(group);
    const auto removed = await<Nothing>([&](Done<Nothing> done) {
        group.waitForLeader()->node->removeMember(leaving, std::move(done));
    });
    REQUIRE(removed);
    CHECK_FALSE(isVoter(group.waitForLeader()->node->status(), leaving));
    group.stop(leaving);
    REQUIRE(group.propose("three"));
    CHECK(group.haveAllApplied(3));
    const auto unknown = await<Nothing>([&](Done<Nothing> done) {
        group.waitForLeader()->node->removeMember("nobody", std::move(done));
    });
    CHECK(unknown.error().code == ErrorCode::NotFound);
}

// An instance's disk is replaced by an empty one and the instance restarts at its address. Without
// help from an operator it must become a member again, with the whole state, and count towards a
// quorum.
TEST_CASE("an instance that restarts with an empty disk becomes a member again by itself",
          "[raftnode]")
{
    TestGroup group;
    startAndForm(group, {"a", "b", "c"});
    for (int i = 0; i < 10; ++i)
        REQUIRE(group.propose(std::to_string(i)));
    const std::string lost = followerOf(group);
    group.stop(lost);
    group.eraseDisk(lost);
    REQUIRE(group.start(lost));
    CHECK(waitFor([&] {
        return group.at(lost).node->status().role == ReplicaRole::Follower
            && group.at(lost).machine.commands().size() == 10;
    }));
    // Another follower is lost right afterwards: the repaired one and the leader form a quorum.
    const std::string leader = group.waitForLeader()->name;
    for (const char *name : {"a", "b", "c"}) {
        if (name != leader && name != lost)
            group.stop(name);
    }
    REQUIRE(group.propose("after"));
    CHECK(group.haveAllApplied(11));
}

// An instance is gone for good and no operator intervenes. A spare instance with an empty disk must
// replace it automatically, so that the group tolerates the next loss.
TEST_CASE("a spare replaces a voter that is gone for good", "[raftnode]")
{
    std::vector<ReplicaMember> spares;
    TestGroup group([&](RaftOptions &options) {
        options.goneAfter = Milliseconds(1000);
        options.spares = [&] { return spares; };
    });
    REQUIRE(group.start("d"));
    spares.push_back(group.member("d"));
    startAndForm(group, {"a", "b", "c"});
    REQUIRE(group.propose("one"));
    const std::string gone = followerOf(group);
    group.stop(gone);
    CHECK(waitFor([&] {
        TestInstance *leader = group.leader();
        return leader != nullptr && isVoter(leader->node->status(), "d")
            && !isVoter(leader->node->status(), gone) && leader->node->status().members.size() == 3;
    }));
    CHECK(group.haveAllApplied(1));
    // After the next loss, the remaining two members must still commit.
    group.stop(group.waitForLeader()->name);
    REQUIRE(group.propose("two"));
    CHECK(group.haveAllApplied(2));
}

// The log is compacted, so that its folder stays small, while a replica is down and misses 500
// commands. It must reach the same state as the others from a snapshot, and so must all replicas
// when they restart.
TEST_CASE("replicas recover from snapshots after 500 commands", "[raftnode]")
{
    TestGroup group([](RaftOptions &options) {
        options.snapshotAfterEntries = 50;
        options.retainedEntries = 10;
    });
    startAndForm(group, {"a", "b", "c"});
    const std::string away = followerOf(group);
    group.stop(away);
    for (int i = 0; i < 500; ++i)
        REQUIRE(group.propose(std::to_string(i)));
    REQUIRE(group.start(away));
    CHECK(group.haveAllApplied(500));
    group.instances.clear();
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    REQUIRE(group.propose("last"));
    CHECK(group.haveAllApplied(501));
    CHECK(group.at("a").machine.commands() == group.at("b").machine.commands());
    CHECK(group.at("a").machine.commands() == group.at("c").machine.commands());
}

TEST_CASE("leadership is transferred on request", "[raftnode]")
{
    TestGroup group;
    startAndForm(group, {"a", "b", "c"});
    const std::string old = group.waitForLeader()->name;
    const auto handed = await<Nothing>(
        [&](Done<Nothing> done) { group.at(old).node->transferLeadership(std::move(done)); });
    INFO((handed ? "" : handed.error().message));
    REQUIRE(handed);
    CHECK(waitFor([&] {
        TestInstance *leader = group.leader();
        return leader != nullptr && leader->name != old;
    }));
}

// The controller starts from the replicated state at the time it is told that its replica leads. If
// it were told before all earlier commits are applied, it would decide on stale state.
TEST_CASE("leadership is reported once the state is current, and again when it is lost",
          "[raftnode]")
{
    std::mutex mutex;
    std::vector<std::string> reported;
    TestGroup group([&](RaftOptions &options) {
        options.onLeadership = [&, name = options.instance](bool leads, std::uint64_t) {
            const std::size_t applied = group.at(name).machine.commands().size();
            const std::lock_guard lock(mutex);
            reported.push_back((leads ? "leads with " : "lost with ") + std::to_string(applied));
        };
    });
    startAndForm(group, {"a", "b", "c"});
    for (int i = 0; i < 5; ++i)
        REQUIRE(group.propose(std::to_string(i)));
    TestInstance *old = group.waitForLeader();
    const std::string oldName = old->name;
    REQUIRE(await<Nothing>(
        [&](Done<Nothing> done) { old->node->transferLeadership(std::move(done)); }));
    REQUIRE(group.propose("six"));
    for (const char *name : {"a", "b", "c"})
        group.at(name).node->stop();
    REQUIRE(reported.size() >= 3);
    CHECK(reported.front() == "leads with 0");
    CHECK(std::count(reported.begin(), reported.end(), "lost with 5") >= 1);
    CHECK(std::count(reported.begin(), reported.end(), "leads with 5") >= 1);
}

// The leader's process is suspended and resumes. The others may have elected a new leader
// meanwhile, so it must not serve reads from its stale state, even before it has received any
// message.
TEST_CASE("a leader that resumes after a suspension holds no lease", "[raftnode]")
{
    auto skipped = std::make_shared<std::atomic<std::int64_t>>(0);
    TestGroup group([&](RaftOptions &options) {
        options.clock = [skipped] { return monotonicNow() + Microseconds(skipped->load()); };
    });
    startAndForm(group, {"a", "b", "c"});
    TestInstance *leader = group.waitForLeader();
    *skipped = 400000; // by its own clock, it was suspended for 400 ms
    CHECK_FALSE(leader->node->holdsLeaderLease());
    CHECK(group.waitForLeader() != nullptr);
}

TEST_CASE("one process hosts replicas of several groups", "[raftnode]")
{
    TestGroup group;
    REQUIRE(group.start("a"));
    RecordingMachine machine;
    TemporaryFolder folder;
    RaftOptions options;
    options.instance = "a";
    options.address = group.at("a").address;
    options.clusterId = "test";
    options.group = static_cast<GroupId>(7);
    options.dataFolder = folder.path();
    auto second = openRaftNode(options, *group.at("a").router, machine);
    REQUIRE(second);
    for (ReplicatedLog *log : {static_cast<ReplicatedLog *>(group.at("a").node.get()),
                               static_cast<ReplicatedLog *>(second.value().get())}) {
        REQUIRE(await<Nothing>(
            [&](Done<Nothing> done) { log->form({group.member("a")}, std::move(done)); }));
        REQUIRE(waitFor([&] { return log->holdsLeaderLease(); }));
    }
    REQUIRE(await<std::string>(
        [&](Done<std::string> done) { second.value()->propose("x", std::move(done)); }));
    CHECK(machine.commands().size() == 1);
    CHECK(group.at("a").machine.commands().empty());
}

// A formation fails because one instance is still starting, and is retried through another instance
// once it is up. Guards against members that stay reserved for the failed formation: they would
// reject every other formation for 10 s, and each retry would reserve them again, so that the group
// would never be formed.
TEST_CASE("a failed formation does not block its members for the next one", "[raftnode]")
{
    TestGroup group;
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    group.stop("c");
    const auto failed = group.form("a", {"a", "b", "c"});
    REQUIRE(failed.has_error());
    CHECK(failed.error().code == ErrorCode::Unavailable);

    REQUIRE(group.start("c"));
    const auto formed = group.form("c", {"a", "b", "c"});
    INFO((formed ? "" : formed.error().message));
    CHECK(formed);
}

// Two operators form groups of the same instances at the same time, through different instances. At
// most one may succeed: otherwise two groups would schedule on the same targets.
TEST_CASE("at most one of two concurrent formations succeeds", "[raftnode]")
{
    TestGroup group;
    for (const char *name : {"a", "b", "c"})
        REQUIRE(group.start(name));
    std::vector<ReplicaMember> members{group.member("a"), group.member("b"), group.member("c")};
    std::atomic<int> succeeded{0};
    std::atomic<int> ended{0};
    for (const char *name : {"a", "b"}) {
        group.at(name).node->form(members, [&](const Result<Nothing> &outcome) {
            succeeded += outcome ? 1 : 0;
            ++ended;
        });
    }
    CHECK(waitFor([&] { return ended == 2; }));
    CHECK(succeeded <= 1);
    CHECK(waitFor([&] {
        const auto again = group.form("a", {"a", "b", "c"});
        return again.has_value() || again.error().code == ErrorCode::Conflict;
    }));
}
