#include "core/codec.h"
#include "state/clusterstate.h"
#include "state/configurationview.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

/// \file
/// Measures the replicated state: memory per task and per target, commands per second, snapshots,
/// and the size of a configuration change compared with the whole document. Runs in one process
/// and one thread; the amount of work is fixed by Sizes.

using namespace guavavalve;

namespace {

struct Sizes
{
    std::uint32_t targets = 34000;
    std::uint32_t tasks = 200000;
    std::uint32_t sections = 200;
    std::uint32_t keysPerTeam = 2;
    std::uint32_t writes = 500;
};

double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::chrono::steady_clock::time_point startTiming()
{
    return std::chrono::steady_clock::now();
}

double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

void report(const char *what, double value, const char *unit)
{
    std::printf("%-58s %14.1f %s\n", what, value, unit);
}

/// Exits if a measured command has been rejected.
void requireSuccess(const CommandOutcome &outcome)
{
    if (outcome.has_value())
        return;
    std::fprintf(stderr, "rejected: %s\n", outcome.error().message.c_str());
    std::exit(1);
}

std::string teamName(std::uint32_t number)
{
    return "team" + std::to_string(number);
}

/// A team section of realistic length: about 600 bytes.
std::string teamContent(std::uint32_t share)
{
    return R"({"description": "Draw-schedule builds and die-wear recalculations of one mill, with )"
           R"(status checks from the floor between them.", "contact": "planning@mill.example", )"
           R"("share": )"
        + std::to_string(share)
        + R"(, "limit": {"milliCores": 40000000, "memoryMb": 80000000, "accelerators": 16, )"
          R"("slots": 2000000, "connections": 16000000}, "maxWaitingTasks": 50000, "classes": {)"
          R"("prompt": {"startWithinMs": 2000, "maxRunTimeMs": 30000}, )"
          R"("batch": {"maxRunTimeMs": 14400000}, "gang": {"enabled": true}, )"
          R"("service": {"enabled": true}}})";
}

class Bench
{
public:
    explicit Bench(const Sizes &chosen)
        : sizes(chosen)
    {}

    void run()
    {
        this->configure();
        this->measureChanges();
        this->measureTargets();
        this->measureTasks();
        this->measureSnapshot();
        this->measureAttemptEnds();
    }

private:
    std::string request() { return "request-" + std::to_string(++this->requests); }

    void write(const std::string &section, std::uint64_t base, const std::string &content)
    {
        WriteSection command;
        command.requestId = this->request();
        command.section = section;
        command.baseVersion = base;
        command.author = "root";
        command.content = content;
        requireSuccess(this->state.apply(command));
    }

    void grant(const std::string &key, const std::string &team, KeyRole role)
    {
        GrantKey command;
        command.requestId = this->request();
        command.keyId = key;
        command.team = team;
        command.role = role;
        command.keyedHash = std::string(64, 'a');
        command.label = "the key of " + team;
        requireSuccess(this->state.apply(command));
    }

    void configure()
    {
        this->grant("root", "", KeyRole::Operator);
        this->write("cell", 0, R"({"maxWaitingTasks": 10000000})");
        for (std::uint32_t team = 1; team < this->sizes.sections; ++team) {
            this->write("team." + teamName(team), 0, teamContent(100));
            for (std::uint32_t key = 0; key < this->sizes.keysPerTeam; ++key)
                this->grant(teamName(team) + "-" + std::to_string(key), teamName(team),
                            KeyRole::Team);
        }
    }

    void measureChanges()
    {
        const Configuration &document = this->state.configuration();
        const auto whole = static_cast<double>(encodeChanges(document.changesSince(0)).size());
        ConfigurationView view;
        if (view.applyChanges(document.changesSince(0)).has_error())
            std::exit(1);
        double changeBytes = 0;
        double writing = 0;
        double answering = 0;
        double taking = 0;
        for (std::uint32_t i = 0; i < this->sizes.writes; ++i) {
            const std::string team = teamName(1 + i % (this->sizes.sections - 1));
            const std::uint64_t base = document.section("team." + team)->current().version;
            const auto write = startTiming();
            this->write("team." + team, base, teamContent(101 + i));
            writing += secondsSince(write);
            const auto answer = startTiming();
            const std::string bytes = encodeChanges(document.changesSince(view.version()));
            answering += secondsSince(answer);
            changeBytes += static_cast<double>(bytes.size());
            const auto take = startTiming();
            if (view.applyChanges(decodeChanges(bytes).value()).has_error())
                std::exit(1);
            taking += secondsSince(take);
        }
        const double writes = this->sizes.writes;
        report("sections", this->sizes.sections, "");
        report("keys", static_cast<double>(document.keys().size()), "");
        report("whole document on the wire", whole, "bytes");
        report("one changed section on the wire", changeBytes / writes, "bytes");
        report("size of the document relative to one change", whole / (changeBytes / writes),
               "times");
        report("applying a write of a section", writing / writes * 1e6, "us");
        report("computing a change for an entry", answering / writes * 1e6, "us");
        report("applying a change at an entry instance", taking / writes * 1e6, "us");
    }

    void measureTargets()
    {
        const double before = heapBytes();
        const auto begin = startTiming();
        for (std::uint32_t i = 0; i < this->sizes.targets; ++i) {
            RegisterTarget command;
            command.name = "worker-" + std::to_string(i);
            command.incarnation = 1;
            command.address = "10.1.2.3:" + std::to_string(1024 + i % 60000);
            command.failureDomain = "domain-" + std::to_string(i % 9);
            command.rack = "rack-" + std::to_string(i / 8);
            command.total = Resources{{16000, 32768, 2, 8, 64}};
            requireSuccess(this->state.apply(command));
        }
        const double seconds = secondsSince(begin);
        report("targets", this->sizes.targets, "");
        report("registering targets", this->sizes.targets / seconds, "commands/s");
        report("memory of a target", (heapBytes() - before) / this->sizes.targets, "bytes");
    }

    AcceptJob job(std::uint32_t number) const
    {
        const std::string team = teamName(1 + number % (this->sizes.sections - 1));
        AcceptJob command;
        command.first = static_cast<JobId>(idValue(this->state.nextTask()));
        command.keyId = team + "-0";
        command.team = this->state.teamNamed(team)->id;
        command.idempotencyKey = "8d0f2a64-0000-4000-8000-" + std::to_string(number);
        command.digest = std::string(32, 'd');
        command.workClass = WorkClass::Batch;
        command.need = Resources{{1000, 2048, 0, 1, 1}};
        command.payload = std::string(200, 'p');
        command.entry = "entry-1";
        return command;
    }

    /// Encodes, decodes and applies the commands in batches, as the replicated log delivers them.
    double applyAll(const std::vector<Command> &commands, const char *what)
    {
        constexpr std::size_t batchSize = 64;
        double bytes = 0;
        const auto begin = startTiming();
        for (std::size_t at = 0; at < commands.size(); at += batchSize) {
            CommandBatch batch;
            const auto end = std::min(commands.size(), at + batchSize);
            batch.commands.assign(commands.begin() + static_cast<std::ptrdiff_t>(at),
                                  commands.begin() + static_cast<std::ptrdiff_t>(end));
            const std::string encoded = encodeBatch(batch).value();
            bytes += static_cast<double>(encoded.size());
            for (const CommandOutcome &outcome : this->state.apply(decodeBatch(encoded).value()))
                requireSuccess(outcome);
        }
        const double rate = static_cast<double>(commands.size()) / secondsSince(begin);
        report((std::string(what) + ", with encoding and decoding").c_str(), rate, "commands/s");
        report((std::string(what) + ", in the log").c_str(),
               bytes / static_cast<double>(commands.size()), "bytes");
        return rate;
    }

    void measureTasks()
    {
        const double before = heapBytes();
        const auto begin = startTiming();
        for (std::uint32_t i = 0; i < this->sizes.tasks; ++i)
            requireSuccess(this->state.apply(this->job(i)));
        report("tasks, one a job", this->sizes.tasks, "");
        report("accepting jobs, no codec", this->sizes.tasks / secondsSince(begin), "commands/s");
        std::vector<Command> places;
        places.reserve(this->sizes.tasks);
        const std::uint64_t first = idValue(this->state.jobs().begin()->first);
        for (std::uint32_t i = 0; i < this->sizes.tasks; ++i) {
            PlaceTask place;
            place.task = static_cast<TaskId>(first + i);
            place.attempt = 1;
            place.target = static_cast<TargetId>(1 + i % this->sizes.targets);
            place.incarnation = 1;
            place.dispatcher = "entry-1";
            places.emplace_back(place);
        }
        const double held = heapBytes();
        this->applyAll(places, "placing a task");
        const double perTask = (heapBytes() - held) / this->sizes.tasks;
        const double placesBytes = static_cast<double>(places.capacity() * sizeof(Command));
        report("memory of a placed task, payload of 200 bytes",
               (held - placesBytes - before) / this->sizes.tasks + perTask, "bytes");
    }

    void measureSnapshot()
    {
        auto begin = startTiming();
        const std::string bytes = this->state.snapshot();
        report("snapshot", static_cast<double>(bytes.size()) / 1e6, "MB");
        report("taking a snapshot", secondsSince(begin) * 1e3, "ms");
        ClusterState copy;
        begin = startTiming();
        if (copy.restore(bytes).has_error())
            std::exit(1);
        report("restoring a snapshot, including the rebuild of its counters",
               secondsSince(begin) * 1e3, "ms");
    }

    void measureAttemptEnds()
    {
        std::vector<Command> ends;
        for (const auto &[id, job] : this->state.jobs()) {
            EndAttempt end;
            end.task = job.taskId(0);
            end.attempt = 1;
            end.outcome = AttemptOutcome::Succeeded;
            end.answerLength = 2000;
            end.answerDigest = std::string(32, 'e');
            ends.emplace_back(end);
        }
        this->applyAll(ends, "ending an attempt");
    }

    Sizes sizes;
    ClusterState state;
    int requests = 0;
};

} // namespace

int main(int argc, char **argv)
{
    Sizes sizes;
    if (argc > 1 && std::strcmp(argv[1], "--quick") == 0) {
        sizes.targets = 2000;
        sizes.tasks = 12000;
        sizes.writes = 100;
    }
    Bench(sizes).run();
    return 0;
}
