#include <catch2/catch.hpp>

#include "workflows/targethealth.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// Twenty targets on which runs have ended well, and a clock.
class HealthFixture
{
public:
    HealthFixture()
    {
        for (unsigned i = 1; i <= targets; ++i)
            this->ends(i, 1, RunOutcome::Succeeded);
    }

    void ends(unsigned target, unsigned workflow, RunOutcome outcome)
    {
        this->health.ended(incarnation(target), static_cast<WorkflowId>(workflow), outcome,
                           this->now);
    }
    TargetTrust trust(unsigned target) const
    {
        return this->health.trust(incarnation(target), this->now);
    }
    static IncarnationId incarnation(unsigned number) { return static_cast<IncarnationId>(number); }

    static constexpr unsigned targets = 20;
    TargetHealth health;
    Instant now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE_METHOD(HealthFixture, "a target that fails different workflows in a row is suspended",
                 "[health]")
{
    // Callers were told that their jobs had failed although nothing was wrong with them: a few
    // targets failed all that they were given, at once, and so had room for the next try as well.
    this->ends(1, 2, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 3, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Suspended);
    CHECK(this->trust(2) == TargetTrust::Trusted);
    CHECK(this->trust(targets + 1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture,
                 "a workflow that fails wherever it runs is not held against a target", "[health]")
{
    for (int run = 0; run < 8; ++run)
        this->ends(1, 2, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 3, RunOutcome::Succeeded);
    this->ends(1, 4, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "ends that say nothing of the target change nothing", "[health]")
{
    this->ends(1, 2, RunOutcome::Failed);
    for (const RunOutcome outcome : {RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Broken,
                                     RunOutcome::Alone, RunOutcome::Lost, RunOutcome::NeverStarted})
        this->ends(1, 3, outcome);
    CHECK(this->trust(1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "a target that refuses what it has room for is suspended",
                 "[health]")
{
    // Targets that were not well answered each start with 503. Their room stayed free, so the same
    // tasks were sent there again and again, and began late.
    this->ends(1, 2, RunOutcome::Refused);
    this->ends(1, 3, RunOutcome::Refused);
    CHECK(this->trust(1) == TargetTrust::Suspended);
}

TEST_CASE_METHOD(HealthFixture, "a suspended target has to prove itself", "[health]")
{
    this->ends(1, 2, RunOutcome::Failed);
    this->ends(1, 3, RunOutcome::Failed);
    this->ends(1, 4, RunOutcome::Failed); // was under way, and does not prolong the suspension
    this->now += Milliseconds(1100);
    CHECK(this->trust(1) == TargetTrust::Probation);
    CHECK_FALSE(this->health.hasProbationExpired(incarnation(1), this->now));
    this->ends(1, 5, RunOutcome::Failed);
    this->now += Milliseconds(1100);
    CHECK(this->trust(1) == TargetTrust::Suspended); // twice as long
    this->now += Milliseconds(1100);
    CHECK(this->trust(1) == TargetTrust::Probation);
    this->now += Milliseconds(1000);
    CHECK(this->trust(1) == TargetTrust::Probation);
    CHECK(this->health.hasProbationExpired(incarnation(1), this->now));
    this->ends(1, 6, RunOutcome::Succeeded);
    CHECK(this->trust(1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "where many targets fail, more is needed to suspend one",
                 "[health]")
{
    // Many jobs that can never be done came at once: each target fails a part of its runs, and
    // two in a row say nothing.
    for (unsigned i = 1; i <= targets / 4; ++i)
        this->ends(i, 2, RunOutcome::Failed);
    this->ends(1, 3, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 4, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Suspended);
}
