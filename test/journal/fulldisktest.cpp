#include <catch2/catch.hpp>

#include "journal/posixdisk.h"
#include "journalfixture.h"
#include "replicas/temporaryfolder.h"

#include <unistd.h>

#include <algorithm>
#include <cerrno>

using namespace guavavalve;

// Guards against a replica that exits at the first write to a disk that is full for five seconds,
// and so is missing from its group. A refused write has lost nothing and can be retried.
TEST_CASE("a journal continues after a write that a full disk refused is retried", "[journal]")
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

// A replica is killed after a write was refused and before it is retried. A vote whose write was
// refused was never cast: it must not appear in a later segment's header.
TEST_CASE("a batch that a full disk refused is not recovered after a restart", "[journal]")
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

// A disk that is full at startup, or that fills up while recovery writes to the folder, must not be
// reported as damage: the process then waits instead of exiting.
TEST_CASE("opening a journal on a full disk is refused and succeeds once there is space",
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

// A full disk accepts the first part of a record and refuses the rest. If the next record were
// written after that part, the next start would discard both, and all that follows, as a torn tail.
TEST_CASE("a record that a full disk accepted only in part is truncated again", "[disk]")
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

TEST_CASE("a write error other than a full disk is not reported as a refusal", "[disk]")
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
