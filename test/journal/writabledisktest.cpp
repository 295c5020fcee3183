#include <catch2/catch.hpp>

#include "journal/fakedisk.h"
#include "journal/writabledisk.h"

using namespace guavavalve;

TEST_CASE("startup waits until the disk accepts writes again", "[disk]")
{
    // Guards against a restart loop: while the disk of a replica was full for five seconds, the
    // process exited at its first write and was restarted, seven times.
    auto folder = std::make_shared<FakeFolder>();
    FakeDisk disk(folder);
    folder->stepsLeft = 0; // each write fails
    int pauses = 0;
    const auto written = waitUntilWritable(disk, [&](const Error &) {
        if (++pauses == 3)
            folder->stepsLeft = -1;
        return true;
    });
    CHECK(written);
    CHECK(pauses == 3);
    CHECK(folder->current.empty());
}

TEST_CASE("waiting for the disk can be aborted", "[disk]")
{
    auto folder = std::make_shared<FakeFolder>();
    FakeDisk disk(folder);
    folder->stepsLeft = 0;
    CHECK_FALSE(waitUntilWritable(disk, [](const Error &) { return false; }));
}
