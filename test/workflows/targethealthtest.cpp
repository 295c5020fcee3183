#include <catch2/catch.hpp>

#include "workflows/health/targethealth.h"

using namespace guavavalve;
using namespace guavavalve::workflows;

namespace {

/// Twenty targets with one successful run each, and a clock.
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

TEST_CASE_METHOD(HealthFixture,
                 "a target with consecutive failures of different workflows is suspended",
                 "[health]")
{
    // Guards against healthy jobs that fail because of a few bad targets: these failed every run
    // immediately, and so had room for the next attempt as well.
    this->ends(1, 2, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 3, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Suspended);
    CHECK(this->trust(2) == TargetTrust::Trusted);
    CHECK(this->trust(targets + 1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "a target is not blamed for a workflow that fails wherever it runs",
                 "[health]")
{
    for (int run = 0; run < 8; ++run)
        this->ends(1, 2, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 3, RunOutcome::Succeeded);
    this->ends(1, 4, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "outcomes that are not the target's fault do not affect its trust",
                 "[health]")
{
    this->ends(1, 2, RunOutcome::Failed);
    for (const RunOutcome outcome : {RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Broken,
                                     RunOutcome::Alone, RunOutcome::Lost, RunOutcome::NeverStarted})
        this->ends(1, 3, outcome);
    CHECK(this->trust(1) == TargetTrust::Trusted);
}

TEST_CASE_METHOD(HealthFixture, "a target that refuses runs it has room for is suspended",
                 "[health]")
{
    // Guards against late starts: unhealthy targets answered every start with 503, and since their
    // room stayed free, the same tasks were sent there again and again.
    this->ends(1, 2, RunOutcome::Refused);
    this->ends(1, 3, RunOutcome::Refused);
    CHECK(this->trust(1) == TargetTrust::Suspended);
}

TEST_CASE_METHOD(HealthFixture, "a suspended target regains trust by a success on probation",
                 "[health]")
{
    this->ends(1, 2, RunOutcome::Failed);
    this->ends(1, 3, RunOutcome::Failed);
    this->ends(1, 4, RunOutcome::Failed); // started before the suspension, and does not extend it
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

TEST_CASE_METHOD(HealthFixture, "the suspension threshold rises when many targets fail", "[health]")
{
    // Many jobs that can never succeed arrive at once: every target fails some of its runs, so two
    // consecutive failures prove nothing.
    for (unsigned i = 1; i <= targets / 4; ++i)
        this->ends(i, 2, RunOutcome::Failed);
    this->ends(1, 3, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Trusted);
    this->ends(1, 4, RunOutcome::Failed);
    CHECK(this->trust(1) == TargetTrust::Suspended);
}
