#include <catch2/catch.hpp>

#include "attribution/attribution.h"
#include "attribution/report.h"
#include "attribution/totals.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <string>

using namespace guavavalve::attribution;

namespace {

/// Takes lines of one leader; times are milliseconds from the beginning.
class LogFixture
{
public:
    void line(int atMs, const std::string &event, const std::string &fields,
              const std::string &process = "core-1")
    {
        std::array<char, 64> time{};
        std::snprintf(time.data(), time.size(), "2026-01-02T03:04:%02d.%03d000+0000", atMs / 1000,
                      atMs % 1000);
        const auto parsed =
            parseLogLine(process + R"( | {"time":")" + time.data() + R"(","level":"info","event":")"
                         + event + "\"" + fields + "}");
        REQUIRE(parsed);
        this->attribution.take(*parsed);
    }
    void accept(int atMs, const std::string &job)
    {
        this->line(atMs, "job-sent",
                   R"(,"job":")" + job
                       + R"(","queue":"q","account":"a","objectiveMs":"1000","outcome":"applied")");
    }
    void place(int atMs, const std::string &step, int run, const std::string &waited)
    {
        this->line(atMs, "placed",
                   R"(,"step":")" + step + R"(","run":")" + std::to_string(run)
                       + R"(","lives":"0@1","waitedMs":")" + waited + "\"");
    }
    void end(int atMs, const std::string &run)
    {
        this->line(atMs, "runs-over", R"(,"life":"1","runs":")" + run + "\"");
    }
    void over(int atMs, const std::string &job, int tookMs)
    {
        this->line(atMs, "job-over",
                   R"(,"job":")" + job + R"(","state":"completed","tookMs":")"
                       + std::to_string(tookMs) + "\"");
    }
    JobAccount only() const
    {
        const Findings found = this->attribution.findings();
        REQUIRE(found.jobs.size() == 1);
        return found.jobs.front();
    }

    Attribution attribution;
};

std::int64_t delayOf(const JobAccount &job, DelayCause cause)
{
    return job.delays[static_cast<std::size_t>(cause)];
}

} // namespace

TEST_CASE("a job in time has no cause to be told", "[attribution]")
{
    LogFixture log;
    log.accept(0, "1");
    log.place(10, "1.0.0", 1, "");
    log.end(510, "1.0.0.0#1=succeeded");
    log.over(520, "1", 520);
    CHECK(log.only().fate == JobFate::InTime);
    CHECK_FALSE(isDelayed(log.only()));
}

TEST_CASE("a job that waited for room is put down to room, with its milliseconds", "[attribution]")
{
    LogFixture log;
    log.accept(0, "1");
    log.place(2500, "1.0.0", 1, "admission:400,room:2000");
    log.end(3000, "1.0.0.0#1=succeeded");
    log.over(3010, "1", 3010);
    const JobAccount job = log.only();
    CHECK(job.fate == JobFate::Late);
    CHECK(job.cause == DelayCause::Room);
    CHECK(delayOf(job, DelayCause::Room) == 2000);
    CHECK(delayOf(job, DelayCause::Admission) == 400);
    CHECK(delayOf(job, DelayCause::Unexplained) == 110);
}

TEST_CASE("a run that was lost with its target counts against the target", "[attribution]")
{
    LogFixture log;
    log.accept(0, "1");
    log.place(10, "1.0.0", 1, "");
    log.end(3500, "1.0.0.0#1=lost");
    log.place(3510, "1.0.0", 2, "");
    log.end(4000, "1.0.0.0#2=succeeded");
    log.over(4000, "1", 4000);
    const JobAccount job = log.only();
    CHECK(job.cause == DelayCause::TargetLost);
    CHECK(delayOf(job, DelayCause::TargetLost) == 3490);
}

TEST_CASE("a run that takes longer than estimated is told as slow", "[attribution]")
{
    LogFixture log;
    log.accept(0, "1");
    log.line(10, "placed",
             R"(,"step":"1.0.0","run":"1","lives":"0@1","waitedMs":"","estimatedMs":"500")");
    log.line(1000, "plan", "");
    log.end(1510, "1.0.0.0#1=succeeded");
    log.over(1510, "1", 1510);
    CHECK(log.only().cause == DelayCause::SlowRun);
    CHECK(delayOf(log.only(), DelayCause::SlowRun) == 1000);
}

TEST_CASE("a run whose beginning the log does not hold counts for nothing", "[attribution]")
{
    LogFixture log;
    log.accept(0, "1");
    log.end(1400, "1.0.0.0#1=never-started");
    log.over(1500, "1", 1500);
    CHECK(delayOf(log.only(), DelayCause::TargetSilent) == 0);
}

TEST_CASE("time without a leader is told, also of jobs that were never done", "[attribution]")
{
    LogFixture log;
    log.line(0, "leads", "");
    log.accept(100, "1");
    log.line(200, "plan", "");
    log.line(2700, "leads", "", "core-2");
    log.line(3000, "plan", "", "core-2");
    const JobAccount job = log.only();
    CHECK(job.fate == JobFate::NeverDone);
    CHECK(job.tookMs == 2900);
    CHECK(job.cause == DelayCause::NoLeader);
    CHECK(delayOf(job, DelayCause::NoLeader) == 2500);
}

TEST_CASE("refused jobs are counted", "[attribution]")
{
    LogFixture log;
    log.line(5, "job-refused", R"(,"path":"/q/1","outcome":"no")");
    CHECK(log.only().fate == JobFate::Refused);
    CHECK(totalsOf(log.attribution.findings()).at("").jobs == 1);
}

TEST_CASE("lines that are no events are passed over", "[attribution]")
{
    CHECK_FALSE(parseLogLine("started well"));
    CHECK_FALSE(parseLogLine("x {not json"));
    CHECK_FALSE(parseLogLine(R"({"event":"placed"})"));
    CHECK_FALSE(parseLogLine(R"({"event":"placed","time":"yesterday"})"));
    CHECK(parseLogLine(R"(a b | {"event":"e","time":"2026-01-02T03:04:05.5+0100"})")->process
          == "b");
}

TEST_CASE("the reports name causes and escape what callers wrote", "[attribution]")
{
    LogFixture log;
    log.line(0, "leads", "");
    log.accept(0, "<1>");
    log.place(2500, "<1>.0.0", 1, "room:2400");
    log.end(3000, "<1>.0.0.0#1=succeeded");
    log.over(3000, "<1>", 3000);
    const Findings found = log.attribution.findings();
    CHECK(asTable(found).find("room") != std::string::npos);
    const auto json = nlohmann::json::parse(asJson(found));
    CHECK(json["delayedJobs"][0]["cause"] == "room");
    CHECK(json["queues"]["q"]["fates"]["late"] == 1);
    const std::string page = asPage(found);
    CHECK(page.find("<1>") == std::string::npos);
    CHECK(page.find("&lt;1>") != std::string::npos);
}
