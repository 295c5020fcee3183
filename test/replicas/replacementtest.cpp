#include <catch2/catch.hpp>

#include "raftsimulation.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

using namespace guavavalve;

namespace {

constexpr std::size_t voters = 5;
constexpr Milliseconds goneAfter{2500};
/// A lost voter's successor starts this long after the loss, and must be a voter catchUpTime later.
constexpr Milliseconds successorDelay{1000};
constexpr Milliseconds catchUpTime{4000};

struct ReplacementFixture
{
    explicit ReplacementFixture(std::uint64_t seed)
        : simulation(seed, 3 * voters, voters, voters / 2 + 1, goneAfter)
    {
        this->simulation.setFaultRates({1, 0, 0});
        for (std::size_t i = voters; i < 3 * voters; ++i)
            this->simulation.crash(i);
        this->simulation.run(Milliseconds(3000));
    }

    /// The machine ends for good.
    void lose(std::size_t node)
    {
        this->simulation.crash(node);
        this->lost.push_back(node);
    }
    std::size_t startSuccessor()
    {
        this->simulation.restart(this->nextSpare);
        return this->nextSpare++;
    }
    bool isLost(std::size_t node) const
    {
        return std::find(this->lost.begin(), this->lost.end(), node) != this->lost.end();
    }
    std::size_t firstLeft() const
    {
        std::size_t node = 0;
        while (this->isLost(node))
            ++node;
        return node;
    }
    bool isVoter(std::size_t node)
    {
        const auto leads = this->simulation.leader();
        return leads && this->simulation.isAlive(node)
            && this->simulation.core(*leads).members().isVoter(this->simulation.core(node).self());
    }
    std::size_t voterCount()
    {
        const auto leads = this->simulation.leader();
        return leads ? this->simulation.core(*leads).members().voters() : 0;
    }

    RaftSimulation simulation;
    std::vector<std::size_t> lost;
    std::size_t nextSpare = voters;
};

using Choice = std::function<std::size_t(ReplacementFixture &)>;

std::size_t chooseLeader(ReplacementFixture &f)
{
    return f.simulation.leader().value_or(f.firstLeft());
}

std::size_t chooseOldest(ReplacementFixture &f)
{
    return f.firstLeft();
}

/// Loses a voter each \a pace, and \a pairGap after it another one if that is not zero.
void loseInTurn(std::uint64_t seed, const Choice &choose, Milliseconds pace, Milliseconds pairGap)
{
    ReplacementFixture f(seed);
    for (int i = 0; i < 4; ++i) {
        INFO("seed " << seed << ", loss " << i << ": " << f.simulation.describe());
        f.lose(choose(f));
        Milliseconds passed = successorDelay;
        if (pairGap > Milliseconds(0)) {
            f.simulation.run(pairGap);
            f.lose(choose(f));
            f.simulation.run(successorDelay - pairGap);
            const std::size_t first = f.startSuccessor();
            f.simulation.run(pairGap);
            passed += pairGap;
            const std::size_t second = f.startSuccessor();
            f.simulation.run(catchUpTime);
            passed += catchUpTime;
            CHECK(f.isVoter(first));
            CHECK(f.isVoter(second));
        } else {
            f.simulation.run(successorDelay);
            f.startSuccessor();
        }
        f.simulation.run(pace - passed);
        REQUIRE(f.simulation.failure() == RaftSimulation::none);
    }
    f.simulation.run(catchUpTime);
    INFO("seed " << seed << ": " << f.simulation.describe());
    CHECK(f.voterCount() == voters);
    CHECK(f.simulation.recovers(Milliseconds(5000)));
}

} // namespace

// Guards against a group without a quorum: each lost voter is followed by the next one as soon as
// its successor has had the time in which it has to count.
TEST_CASE("voters that are lost in turn are replaced in time", "[raft][replacement]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        loseInTurn(seed, chooseOldest, Milliseconds(4000), Milliseconds(0));
        loseInTurn(seed, chooseLeader, Milliseconds(4000), Milliseconds(0));
    }
}

// Guards against a second lost voter that is only counted from the election of the next leader.
TEST_CASE("voters that are lost in pairs are replaced in time", "[raft][replacement]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        loseInTurn(seed, chooseOldest, Milliseconds(6000), Milliseconds(500));
        loseInTurn(seed, chooseLeader, Milliseconds(6000), Milliseconds(500));
    }
}

// Guards against a machine that is replaced while it is only cut off, and is lost to the group.
TEST_CASE("a voter that returns after it was replaced can take the next place",
          "[raft][replacement]")
{
    ReplacementFixture f(3);
    const std::size_t cut = (*f.simulation.leader() + 1) % voters;
    f.simulation.cutOff(cut);
    const std::size_t spare = f.startSuccessor();
    f.simulation.run(Milliseconds(4000));
    CHECK(f.isVoter(spare));
    CHECK_FALSE(f.isVoter(cut));
    f.simulation.reconnect(cut);
    f.simulation.run(Milliseconds(1000));
    f.lose(*f.simulation.leader());
    f.simulation.run(catchUpTime);
    CHECK(f.isVoter(cut));
    CHECK(f.voterCount() == voters);
    CHECK(f.simulation.recovers(Milliseconds(5000)));
}

// Guards against a pause of one voter that costs it its place while a spare is there.
TEST_CASE("a voter that is silent for a shorter time keeps its place", "[raft][replacement]")
{
    ReplacementFixture f(4);
    const std::size_t cut = (*f.simulation.leader() + 1) % voters;
    const std::size_t spare = f.startSuccessor();
    f.simulation.cutOff(cut);
    f.simulation.run(goneAfter - Milliseconds(200));
    f.simulation.reconnect(cut);
    f.simulation.run(Milliseconds(3000));
    CHECK(f.isVoter(cut));
    CHECK_FALSE(f.isVoter(spare));
    // The spare, which is a learner by then, takes the place of whatever voter is lost next.
    f.lose((cut + 1) % voters);
    f.simulation.run(catchUpTime);
    CHECK(f.isVoter(spare));
    CHECK(f.isVoter(cut));
    CHECK(f.voterCount() == voters);
}

// Guards against a silence that is forgotten because a new leader counts it from its own election.
TEST_CASE("a change of the leader does not restart the count of a voter's silence",
          "[raft][replacement]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        INFO("seed " << seed);
        ReplacementFixture f(seed);
        const std::size_t leader = *f.simulation.leader();
        f.lose((leader + 1) % voters);
        f.simulation.run(successorDelay);
        const std::size_t first = f.startSuccessor();
        f.simulation.run(Milliseconds(1000));
        f.lose(leader);
        f.simulation.run(successorDelay);
        const std::size_t second = f.startSuccessor();
        f.simulation.run(catchUpTime - Milliseconds(1000) - successorDelay);
        CHECK(f.isVoter(first));
        f.simulation.run(Milliseconds(1000) + successorDelay);
        CHECK(f.isVoter(second));
        CHECK(f.voterCount() == voters);
    }
}

// Guards against a group that grows by a voter when the disk of a spare is lost before the spare
// has taken its place: the larger group bears the loss of no more machines.
TEST_CASE("a spare that loses its disk takes one place only", "[raft][replacement]")
{
    // The lost voter stays away, or returns before its place is taken.
    const bool isBack = GENERATE(false, true);
    // The spare is gone until it counts as silent, or comes back with its new disk at once.
    const Milliseconds away = GENERATE(Milliseconds(50), Milliseconds(600));
    ReplacementFixture f(5);
    const std::size_t cut = (*f.simulation.leader() + 1) % voters;
    const std::size_t spare = f.startSuccessor();
    f.simulation.cutOff(cut);
    f.simulation.run(goneAfter - Milliseconds(700));
    f.simulation.eraseDisk(spare);
    f.simulation.crash(spare);
    f.simulation.run(away);
    f.simulation.restart(spare);
    if (isBack)
        f.simulation.reconnect(cut);
    f.simulation.run(Milliseconds(100));
    for (int i = 0; i < 50; ++i) {
        f.simulation.run(Milliseconds(100));
        REQUIRE(f.voterCount() <= voters);
    }
    CHECK(f.isVoter(spare) != isBack);
    CHECK(f.isVoter(cut) == isBack);
    CHECK(f.voterCount() == voters);
}

// Guards against the same when the disk is lost while the group removes the spare as silent.
TEST_CASE("a spare with a new disk waits for a place though its old replica is removed",
          "[raft][replacement]")
{
    ReplacementFixture f(6);
    const std::size_t cut = (*f.simulation.leader() + 1) % voters;
    const std::size_t spare = f.startSuccessor();
    f.simulation.cutOff(cut);
    f.simulation.run(goneAfter - Milliseconds(500));
    f.simulation.reconnect(cut);
    f.simulation.run(Milliseconds(500));
    f.simulation.eraseDisk(spare);
    f.simulation.crash(spare);
    f.simulation.run(goneAfter - Milliseconds(100));
    f.simulation.restart(spare);
    for (int i = 0; i < 50; ++i) {
        f.simulation.run(Milliseconds(100));
        REQUIRE(f.voterCount() == voters);
    }
    CHECK_FALSE(f.isVoter(spare));
    f.lose((cut + 1) % voters);
    f.simulation.run(catchUpTime);
    CHECK(f.isVoter(spare));
    CHECK(f.voterCount() == voters);
}
