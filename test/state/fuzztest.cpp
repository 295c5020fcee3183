#include "statefixture.h"

#include "core/codec.h"

#include <xxhash.h>

#include <cstring>
#include <random>

using namespace guavavalve;

namespace {

constexpr int rounds = 10000;

/// Overwrites one to three random bytes and sometimes truncates the result.
std::string damage(std::string bytes, std::mt19937 &random)
{
    const unsigned changes = 1 + random() % 3;
    for (unsigned i = 0; i < changes; ++i)
        bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0)
        bytes.resize(random() % bytes.size());
    return bytes;
}

/// A state with jobs that are waiting, placed and finished.
ClusterState populatedState()
{
    StateFixture fixture;
    REQUIRE(fixture.registerTarget("t2", 1).has_value());
    for (int i = 0; i < 5; ++i) {
        AcceptJob job = fixture.job("job-" + std::to_string(i));
        job.tasks = 2;
        const TaskId task = fixture.accept(job);
        REQUIRE(fixture.place(task, 1).has_value());
        if (i < 3)
            REQUIRE(fixture.end(task, 1, static_cast<AttemptOutcome>(i)).has_value());
    }
    return fixture.state;
}

CommandBatch oneOfEachCommand(const ClusterState &state)
{
    CommandBatch batch;
    batch.shard = state.shard();
    StateFixture fixture;
    const TaskId task = state.jobs().begin()->second.taskId(1);
    PlaceGang gang;
    gang.places = {fixture.placement(task, 1), fixture.placement(task, 2)};
    batch.commands = {GrantKey(),
                      WithdrawKey(),
                      WriteSection(),
                      LapseTarget(),
                      RetireTarget(),
                      SetTargetDraining(),
                      SetDomainEvacuated(),
                      CancelJob(),
                      ForgetJobs(),
                      RefuseJob(),
                      ReassignDispatcher(),
                      EndAttempt(),
                      gang,
                      fixture.placement(task, 1)};
    batch.commands.emplace_back(StateFixture::registration("t1", 2));
    AcceptJob job = fixture.job("order");
    job.first = static_cast<JobId>(idValue(state.nextTask()));
    batch.commands.emplace_back(job);
    return batch;
}

std::string withChecksum(std::string bytes)
{
    constexpr std::size_t checksumBytes = 8;
    if (bytes.size() < checksumBytes)
        return bytes;
    const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size() - checksumBytes);
    std::memcpy(&bytes[bytes.size() - checksumBytes], &sum, checksumBytes);
    return bytes;
}

} // namespace

TEST_CASE("damaged command batches neither crash the decoder nor corrupt the state",
          "[state][fuzz]")
{
    const unsigned seed = 20261204;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const ClusterState before = populatedState();
    const std::string bytes = encodeBatch(oneOfEachCommand(before)).value();
    int refused = 0;
    int applied = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto batch = decodeBatch(damage(bytes, random));
        if (batch.has_error()) {
            CHECK(batch.error().code == ErrorCode::Corrupt);
            ++refused;
            continue;
        }
        ClusterState state = before;
        for (const CommandOutcome &outcome : state.apply(batch.value()))
            applied += outcome.has_value() ? 1 : 0;
        REQUIRE(state.verifyCounts().has_value());
    }
    CHECK(refused > rounds / 10);
    CHECK(applied > rounds / 10);
}

// Restores a damaged snapshot, once with the original checksum, as after a disk or network fault,
// and once with a matching one. The first must be rejected and leave the state unchanged; the
// second may be restored only if all its totals agree.
TEST_CASE("a damaged snapshot is never partially restored", "[state][fuzz]")
{
    const unsigned seed = 20261205;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::string snapshot = populatedState().snapshot();
    ClusterState state(3);
    const std::string empty = state.snapshot();
    int taken = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string damaged = damage(snapshot, random);
        if (damaged != snapshot) {
            const auto restored = state.restore(damaged);
            REQUIRE(restored.has_error());
            CHECK(restored.error().code == ErrorCode::Corrupt);
        }
        ClusterState other(3);
        if (other.restore(withChecksum(damaged)).has_value()) {
            ++taken;
            REQUIRE(other.verifyCounts().has_value());
        }
    }
    CHECK(state.snapshot() == empty);
    CHECK(taken < rounds);
    CHECK(ClusterState(4).restore(snapshot).error().code == ErrorCode::Corrupt);
}
