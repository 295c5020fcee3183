#include "statefixture.h"

#include "core/codec.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace guavavalve;

namespace {

/// Proposes random commands, many of them deliberately invalid. Checks the invariants against its
/// own model, which follows the accepted commands and not the state under test.
class RandomProposer
{
public:
    explicit RandomProposer(unsigned seed)
        : random(seed)
    {}

    void step()
    {
        const Command command = this->next();
        const std::uint64_t versionBefore = this->state().configuration().version();
        CommandBatch batch;
        batch.shard = 3;
        batch.commands = {command};
        const auto bytes = encodeBatch(batch);
        REQUIRE(bytes.has_value());
        const auto outcomes = this->state().apply(decodeBatch(bytes.value()).value());
        const auto replicated = this->replica.apply(decodeBatch(bytes.value()).value());
        REQUIRE(encodeOutcomes(outcomes) == encodeOutcomes(replicated));
        const auto decoded = decodeOutcomes(encodeOutcomes(outcomes));
        REQUIRE(decoded.value().front().has_value() == outcomes.front().has_value());
        if (outcomes.front().has_value()) {
            ++this->accepted;
            std::visit([this](const auto &one) { this->observe(one); }, command);
        }
        REQUIRE(this->state().configuration().version() >= versionBefore);
    }

    /// Checks the totals, and that the replica, which applied the same log, has the same snapshot.
    /// Then replaces the replica with one restored from that snapshot.
    void check()
    {
        const auto counted = this->state().verifyCounts();
        REQUIRE(counted.has_value());
        const std::string snapshot = this->state().snapshot();
        REQUIRE(snapshot == this->replica.snapshot());
        ClusterState restored(3);
        REQUIRE(restored.restore(snapshot).has_value());
        REQUIRE(restored.snapshot() == snapshot);
        this->replica = std::move(restored);
    }

    ClusterState &state() { return this->fixture.state; }

    int accepted = 0;
    int placed = 0;

private:
    unsigned randomBelow(unsigned bound) { return this->random() % bound; }

    std::string targetName() { return "t" + std::to_string(this->randomBelow(4)); }

    TaskId someTask()
    {
        if (this->knownTasks.empty())
            return TaskId::None;
        // Prefers recent tasks, since most older ones have finished.
        const auto count = static_cast<unsigned>(this->knownTasks.size());
        const unsigned back =
            this->randomBelow(this->randomBelow(8) == 0 ? count : std::min(count, 40U));
        return this->knownTasks[count - 1 - back];
    }

    /// A random task in state \a wanted if a few tries find one, otherwise any task.
    TaskId taskIn(TaskState wanted)
    {
        TaskId task = this->someTask();
        for (int i = 0; i < 10; ++i) {
            const TaskRecord *record = this->state().task(task);
            if (record != nullptr && record->state == wanted)
                break;
            task = this->someTask();
        }
        return task;
    }

    Command next()
    {
        switch (this->randomBelow(16)) {
        case 0:
            return this->randomBelow(2) == 0 ? this->randomRegistration() : this->randomLapse();
        case 1:
            return this->randomRegistration();
        case 2:
            return this->randomWrite();
        case 3:
        case 4:
        case 5:
            return this->randomJob();
        case 6:
            return this->randomGang();
        case 7:
            return this->randomCancel();
        case 8:
        case 9:
        case 10:
        case 11:
            return this->randomEnd();
        default:
            return this->randomPlace(this->taskIn(TaskState::Waiting));
        }
    }

    Command randomRegistration()
    {
        const std::string name = this->targetName();
        const TargetRecord *known = this->state().targetNamed(name);
        RegisterTarget command = StateFixture::registration(
            name,
            (known == nullptr ? 0 : known->incarnation) + (this->randomBelow(4) == 0 ? 1 : 0));
        command.total[ResourceKind::Slots] = 2 + this->randomBelow(8);
        command.departing = this->randomBelow(10) == 0;
        return command;
    }

    Command randomLapse()
    {
        const TargetRecord *known = this->state().targetNamed(this->targetName());
        LapseTarget command;
        command.target = known == nullptr ? TargetId::None : known->id;
        command.incarnation = known == nullptr ? 0 : known->incarnation - this->randomBelow(2);
        if (this->randomBelow(3) != 0)
            return command;
        SetTargetDraining drain;
        drain.target = command.target;
        drain.draining = this->randomBelow(4) == 0;
        return drain;
    }

    Command randomWrite()
    {
        const std::string team = this->randomBelow(2) == 0 ? "mill" : "tours";
        const Section &section = *this->state().configuration().section("team." + team);
        const std::string slots = std::to_string(4 + this->randomBelow(16));
        return this->fixture.sectionWrite("team." + team,
                                          section.current().version - this->randomBelow(2),
                                          R"({"limit": {"slots": )" + slots + "}}");
    }

    Command randomJob()
    {
        AcceptJob job = this->fixture.job("key-" + std::to_string(this->randomBelow(4000)),
                                          this->randomBelow(2) == 0 ? "mill" : "tours");
        job.digest = "digest-" + std::to_string(this->randomBelow(3));
        job.repeatable = this->randomBelow(2) == 0;
        job.tasks = 1 + this->randomBelow(3);
        job.workClass = this->randomBelow(3) == 0 ? WorkClass::Gang : WorkClass::Batch;
        job.need[ResourceKind::Slots] = 1 + this->randomBelow(3);
        if (this->randomBelow(20) == 0)
            job.first = static_cast<JobId>(idValue(job.first) - this->randomBelow(3));
        return job;
    }

    PlaceTask randomPlace(TaskId task)
    {
        const TaskRecord *record = this->state().task(task);
        const TargetRecord *target = this->state().targetNamed(this->targetName());
        PlaceTask place;
        place.task = task;
        place.attempt =
            (record == nullptr ? 0 : record->attempt) + (this->randomBelow(8) != 0 ? 1 : 0);
        place.target = target == nullptr ? TargetId::None : target->id;
        place.incarnation =
            target == nullptr ? 0 : target->incarnation - (this->randomBelow(8) == 0 ? 1 : 0);
        return place;
    }

    Command randomGang()
    {
        PlaceGang gang;
        const JobRecord *job = this->state().jobOf(this->taskIn(TaskState::Waiting));
        for (std::size_t i = 0; job != nullptr && i < job->tasks.size(); ++i)
            gang.places.push_back(this->randomPlace(job->taskId(i)));
        return gang;
    }

    Command randomCancel()
    {
        const JobRecord *job = this->state().jobOf(this->someTask());
        const JobId id = job == nullptr ? JobId::None : job->id;
        switch (this->randomBelow(3)) {
        case 0: {
            CancelJob cancel;
            cancel.job = id;
            return cancel;
        }
        case 1: {
            RefuseJob refuse;
            refuse.job = id;
            return refuse;
        }
        default: {
            ForgetJobs forget;
            forget.jobs = {id};
            return forget;
        }
        }
    }

    Command randomEnd()
    {
        EndAttempt end;
        end.task = this->taskIn(TaskState::Placed);
        const TaskRecord *record = this->state().task(end.task);
        end.attempt = record == nullptr ? 1 : record->attempt - (this->randomBelow(8) == 0 ? 1 : 0);
        end.outcome = static_cast<AttemptOutcome>(this->randomBelow(5));
        return end;
    }

    void observe(const AcceptJob &command)
    {
        const JobRecord *job =
            this->state().jobByIdempotencyKey(command.team, command.idempotencyKey);
        REQUIRE(job != nullptr);
        REQUIRE(job->digest == command.digest);
        if (job->id != command.first)
            return;
        for (std::uint32_t i = 0; i < command.tasks; ++i)
            this->knownTasks.push_back(job->taskId(i));
    }

    void observe(const PlaceTask &place)
    {
        ++this->placed;
        // No task is placed twice at the same time.
        REQUIRE(this->openPlacements.emplace(place.task, place.target).second);
        const JobRecord &job = *this->state().jobOf(place.task);
        // An unrepeatable task is never placed again once it may have started.
        if (!job.repeatable)
            REQUIRE(this->mayHaveStarted.insert(place.task).second);
        const TargetRecord &target = *this->state().target(place.target);
        REQUIRE(target.incarnation == place.incarnation);
        Resources onTarget;
        Resources byTeam;
        for (const auto &[task, where] : this->openPlacements) {
            const JobRecord &other = *this->state().jobOf(task);
            if (where == place.target)
                onTarget += other.need;
            if (other.team == job.team)
                byTeam += other.need;
        }
        REQUIRE(onTarget.fitsInto(target.total));
        REQUIRE(byTeam.fitsInto(this->state().limitOf(job.team)));
    }

    void observe(const PlaceGang &gang)
    {
        for (const PlaceTask &place : gang.places)
            this->observe(place);
    }

    void observe(const EndAttempt &end)
    {
        this->openPlacements.erase(end.task);
        if (end.outcome == AttemptOutcome::NeverStarted)
            this->mayHaveStarted.erase(end.task);
    }

    void observe(const RegisterTarget &command)
    {
        const TargetRecord &target = *this->state().targetNamed(command.name);
        const auto before = this->incarnations.find(command.name);
        if (before != this->incarnations.end() && before->second != target.incarnation)
            this->closePlacements(target.id);
        this->incarnations[command.name] = target.incarnation;
    }

    void observe(const LapseTarget &command) { this->closePlacements(command.target); }

    template<typename Other>
    void observe(const Other &)
    {}

    void closePlacements(TargetId target)
    {
        for (auto place = this->openPlacements.begin(); place != this->openPlacements.end();)
            place = place->second == target ? this->openPlacements.erase(place) : std::next(place);
    }

    std::mt19937 random;
    StateFixture fixture;
    ClusterState replica = this->fixture.state;
    std::vector<TaskId> knownTasks;
    std::map<TaskId, TargetId> openPlacements; ///< placements that are not known to have ended
    std::set<TaskId> mayHaveStarted; ///< unrepeatable tasks that may have started
    std::map<std::string, Incarnation> incarnations{{"t1", 1}};
};

} // namespace

TEST_CASE("random commands break no invariant and all replicas agree", "[state][property]")
{
    constexpr int steps = 10000;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        RandomProposer random(seed);
        for (int step = 0; step < steps; ++step) {
            INFO("step " << step);
            random.step();
            if (step % 500 == 0)
                random.check();
        }
        random.check();
        // Ensures that enough commands were accepted for the run to be meaningful.
        CHECK(random.accepted > steps / 5);
        CHECK(random.placed > steps / 50);
    }
}
