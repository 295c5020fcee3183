#include "statefixture.h"

#include "core/codec.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace guavavalve;

namespace {

/// Proposes random commands, many of them wrong on purpose, and keeps a count of its own of what
/// must hold: from the commands that were accepted, and not from the state.
class RandomOperator
{
public:
    explicit RandomOperator(unsigned seed)
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
        const auto copied = this->copy.apply(decodeBatch(bytes.value()).value());
        REQUIRE(encodeOutcomes(outcomes) == encodeOutcomes(copied));
        const auto decoded = decodeOutcomes(encodeOutcomes(outcomes));
        REQUIRE(decoded.value().front().has_value() == outcomes.front().has_value());
        if (outcomes.front().has_value()) {
            ++this->accepted;
            std::visit([this](const auto &one) { this->observe(one); }, command);
        }
        REQUIRE(this->state().configuration().version() >= versionBefore);
    }

    /// The copy follows the same log from the same start.
    void check()
    {
        const auto counted = this->state().recount();
        REQUIRE(counted.has_value());
        const std::string snapshot = this->state().snapshot();
        REQUIRE(snapshot == this->copy.snapshot());
        ClusterState restored(3);
        REQUIRE(restored.restore(snapshot).has_value());
        REQUIRE(restored.snapshot() == snapshot);
        this->copy = std::move(restored);
    }

    ClusterState &state() { return this->fixture.state; }

    int accepted = 0;
    int placed = 0;

private:
    unsigned below(unsigned bound) { return this->random() % bound; }

    std::string targetName() { return "t" + std::to_string(this->below(4)); }

    TaskId someTask()
    {
        if (this->known.empty())
            return TaskId::None;
        // Mostly one of the latest: the others have mostly finished.
        const auto count = static_cast<unsigned>(this->known.size());
        const unsigned back = this->below(this->below(8) == 0 ? count : std::min(count, 40U));
        return this->known[count - 1 - back];
    }

    /// A task in \a wanted state if a few tries find one, otherwise any.
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
        switch (this->below(16)) {
        case 0:
            return this->below(2) == 0 ? this->randomRegistration() : this->randomLapse();
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
            name, (known == nullptr ? 0 : known->incarnation) + (this->below(4) == 0 ? 1 : 0));
        command.total[ResourceKind::Slots] = 2 + this->below(8);
        command.departing = this->below(10) == 0;
        return command;
    }

    Command randomLapse()
    {
        const TargetRecord *known = this->state().targetNamed(this->targetName());
        LapseTarget command;
        command.target = known == nullptr ? TargetId::None : known->id;
        command.incarnation = known == nullptr ? 0 : known->incarnation - this->below(2);
        if (this->below(3) != 0)
            return command;
        SetTargetDraining drain;
        drain.target = command.target;
        drain.draining = this->below(4) == 0;
        return drain;
    }

    Command randomWrite()
    {
        const std::string team = this->below(2) == 0 ? "mill" : "tours";
        const Section &section = *this->state().configuration().section("team." + team);
        const std::string slots = std::to_string(4 + this->below(16));
        return this->fixture.sectionWrite("team." + team,
                                          section.current().version - this->below(2),
                                          R"({"limit": {"slots": )" + slots + "}}");
    }

    Command randomJob()
    {
        AcceptJob job = this->fixture.job("key-" + std::to_string(this->below(4000)),
                                          this->below(2) == 0 ? "mill" : "tours");
        job.digest = "digest-" + std::to_string(this->below(3));
        job.repeatable = this->below(2) == 0;
        job.tasks = 1 + this->below(3);
        job.workClass = this->below(3) == 0 ? WorkClass::Gang : WorkClass::Batch;
        job.need[ResourceKind::Slots] = 1 + this->below(3);
        if (this->below(20) == 0)
            job.first = static_cast<JobId>(idValue(job.first) - this->below(3));
        return job;
    }

    PlaceTask randomPlace(TaskId task)
    {
        const TaskRecord *record = this->state().task(task);
        const TargetRecord *target = this->state().targetNamed(this->targetName());
        PlaceTask place;
        place.task = task;
        place.attempt = (record == nullptr ? 0 : record->attempt) + (this->below(8) != 0 ? 1 : 0);
        place.target = target == nullptr ? TargetId::None : target->id;
        place.incarnation =
            target == nullptr ? 0 : target->incarnation - (this->below(8) == 0 ? 1 : 0);
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
        switch (this->below(3)) {
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
        end.attempt = record == nullptr ? 1 : record->attempt - (this->below(8) == 0 ? 1 : 0);
        end.outcome = static_cast<AttemptOutcome>(this->below(5));
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
            this->known.push_back(job->taskId(i));
    }

    void observe(const PlaceTask &place)
    {
        ++this->placed;
        // No task in two places.
        REQUIRE(this->open.emplace(place.task, place.target).second);
        const JobRecord &job = *this->state().jobOf(place.task);
        // What is not repeatable never runs again once it may have begun.
        if (!job.repeatable)
            REQUIRE(this->begun.insert(place.task).second);
        const TargetRecord &target = *this->state().target(place.target);
        REQUIRE(target.incarnation == place.incarnation);
        Resources onTarget;
        Resources byTeam;
        for (const auto &[task, where] : this->open) {
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
        this->open.erase(end.task);
        if (end.outcome == AttemptOutcome::NeverStarted)
            this->begun.erase(end.task);
    }

    void observe(const RegisterTarget &command)
    {
        const TargetRecord &target = *this->state().targetNamed(command.name);
        const auto before = this->incarnations.find(command.name);
        if (before != this->incarnations.end() && before->second != target.incarnation)
            this->closeAll(target.id);
        this->incarnations[command.name] = target.incarnation;
    }

    void observe(const LapseTarget &command) { this->closeAll(command.target); }

    template<typename Other>
    void observe(const Other &)
    {}

    void closeAll(TargetId target)
    {
        for (auto place = this->open.begin(); place != this->open.end();)
            place = place->second == target ? this->open.erase(place) : std::next(place);
    }

    std::mt19937 random;
    StateFixture fixture;
    ClusterState copy = this->fixture.state;
    std::vector<TaskId> known;
    std::map<TaskId, TargetId> open; ///< places whose end is not known
    std::set<TaskId> begun; ///< unrepeatable tasks that may have begun
    std::map<std::string, Incarnation> incarnations{{"t1", 1}};
};

} // namespace

TEST_CASE("no run of commands breaks an invariant and every copy agrees", "[state][property]")
{
    constexpr int steps = 10000;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        INFO("seed " << seed);
        RandomOperator random(seed);
        for (int step = 0; step < steps; ++step) {
            INFO("step " << step);
            random.step();
            if (step % 500 == 0)
                random.check();
        }
        random.check();
        // A run that is refused throughout would prove nothing.
        CHECK(random.accepted > steps / 5);
        CHECK(random.placed > steps / 50);
    }
}
