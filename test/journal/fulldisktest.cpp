#include <catch2/catch.hpp>

#include "journal/posixdisk.h"
#include "journalfixture.h"
#include "replicas/temporaryfolder.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>

using namespace guavavalve;

// The disk of a replica is full for five seconds. Its process ended at the first write, and what it
// did for the group with it. Nothing has been lost by a refusal: the write is tried again.
TEST_CASE("a journal goes on where a full disk has refused it", "[journal]")
{
    auto folder = std::make_shared<FakeFolder>();
    {
        auto journal = journalOn(folder);
        REQUIRE(journal->recover());
        for (LogIndex index = 1; index <= 30; ++index) {
            folder->isFull = index % 2 == 0;
            const auto refused = journal->write(batchOf(index));
            if (folder->isFull) {
                REQUIRE(refused.has_error());
                CHECK(refused.error().code == ErrorCode::WriteRefused);
                folder->isFull = false;
                REQUIRE(journal->write(batchOf(index)));
            }
        }
        folder->isFull = true;
        const auto refused = journal->saveSnapshot(metaOf(20, "state"), "state");
        REQUIRE(refused.has_error());
        CHECK(refused.error().code == ErrorCode::WriteRefused);
        folder->isFull = false;
        REQUIRE(journal->saveSnapshot(metaOf(20, "state"), "state"));
        REQUIRE(journal->release(20));
    }
    const RecoveredState state = journalOn(folder)->recover().value();
    CHECK(state.hardState.term == 30);
    CHECK(state.snapshotState == "state");
    REQUIRE(state.entries.size() == 10);
    CHECK(state.entries.back().index == 30);
}

// A replica is killed between a refusal and the next try. A vote that was refused was never given:
// it must not be found in a later segment's header.
TEST_CASE("a batch that a full disk has refused is not found after a restart", "[journal]")
{
    auto folder = std::make_shared<FakeFolder>();
    {
        auto journal = journalOn(folder, 1); // each batch begins a segment
        REQUIRE(journal->recover());
        REQUIRE(journal->write(batchOf(1)));
        folder->isFull = true;
        REQUIRE(journal->write(batchOf(2)).has_error());
        folder->isFull = false;
        WriteBatch other;
        other.entries.push_back(commandEntry(2));
        REQUIRE(journal->write(other));
    }
    const RecoveredState state = journalOn(folder)->recover().value();
    CHECK(state.hardState.term == 1);
    CHECK(state.entries.size() == 2);
}

// A start on a full disk, or one that fills up while the folder is tidied, is told apart from
// damage: the process waits and does not end.
TEST_CASE("a journal that cannot be opened on a full disk says so and can be opened later",
          "[journal]")
{
    auto folder = std::make_shared<FakeFolder>();
    folder->isFull = true;
    const auto refused = journalOn(folder)->recover();
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::WriteRefused);
    folder->isFull = false;
    CHECK(journalOn(folder)->recover());
}

// A full disk takes the first half of a record and refuses the rest. Were the next record written
// behind that half, everything after it would be cut off at the next start as a torn tail.
TEST_CASE("half a record that a full disk took is cut off again", "[disk]")
{
    const TemporaryFolder scratch;
    std::size_t room = 10;
    PosixDisk disk(scratch.path(), [&](int file, const char *bytes, std::size_t count) -> ssize_t {
        if (room == 0) {
            errno = ENOSPC;
            return -1;
        }
        const std::size_t taken = std::min(room, count);
        room -= taken;
        return ::write(file, bytes, taken);
    });
    REQUIRE(disk.append("log", "first "));
    const auto refused = disk.append("log", "refused ");
    REQUIRE(refused.has_error());
    CHECK(refused.error().code == ErrorCode::WriteRefused);
    CHECK(disk.read("log").value() == "first ");
    room = 100;
    REQUIRE(disk.append("log", "second"));
    REQUIRE(disk.sync("log"));
    CHECK(disk.read("log").value() == "first second");
}

TEST_CASE("an error other than a full disk is no refusal", "[disk]")
{
    const TemporaryFolder scratch;
    PosixDisk disk(scratch.path(), [](int, const char *, std::size_t) -> ssize_t {
        errno = EIO;
        return -1;
    });
    const auto failed = disk.append("log", "lost");
    REQUIRE(failed.has_error());
    CHECK(failed.error().code == ErrorCode::Unavailable);
}
