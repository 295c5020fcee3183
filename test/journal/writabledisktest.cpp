#include <catch2/catch.hpp>

#include "journal/fakedisk.h"
#include "journal/writabledisk.h"

using namespace guavavalve;

TEST_CASE("a start waits until the disk takes writes again", "[disk]")
{
    // The disk of a replica was full for five seconds. The process ended at its first write, was
    // started, and ended again, seven times.
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

TEST_CASE("waiting for the disk can be given up", "[disk]")
{
    auto folder = std::make_shared<FakeFolder>();
    FakeDisk disk(folder);
    folder->stepsLeft = 0;
    CHECK_FALSE(waitUntilWritable(disk, [](const Error &) { return false; }));
}
