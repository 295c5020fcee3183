#include <catch2/catch.hpp>

#include "attribution/attribution.h"
#include "attribution/report.h"
#include "attribution/totals.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <string>

using namespace guavavalve::attribution;

namespace {

/// Adds log lines to an Attribution, by default those of one leader. Times are milliseconds after
/// an arbitrary start.
class LogFixture
{
public:
    void addLine(int atMs, const std::string &event, const std::string &fields,
                 const std::string &process = "core-1")
    {
        std::array<char, 64> time{};
        std::snprintf(time.data(), time.size(), "2026-01-02T03:04:%02d.%03d000+0000", atMs / 1000,
                      atMs % 1000);
        const auto parsed =
            parseLogLine(process + R"( | {"time":")" + time.data() + R"(","level":"info","event":")"
                         + event + "\"" + fields + "}");
        REQUIRE(parsed);
        this->attribution.addEvent(*parsed);
    }
    void acceptJob(int atMs, const std::string &job)
    {
        this->addLine(
            atMs, "job-sent",
            R"(,"job":")" + job
                + R"(","queue":"q","account":"a","objectiveMs":"1000","outcome":"applied")");
    }
    void placeStep(int atMs, const std::string &step, int run, const std::string &waited)
    {
        this->addLine(atMs, "placed",
                      R"(,"step":")" + step + R"(","run":")" + std::to_string(run)
                          + R"(","lives":"0@1","waitedMs":")" + waited + "\"");
    }
    void endRun(int atMs, const std::string &run)
    {
        this->addLine(atMs, "runs-over", R"(,"life":"1","runs":")" + run + "\"");
    }
    void completeJob(int atMs, const std::string &job, int tookMs)
    {
        this->addLine(atMs, "job-over",
                      R"(,"job":")" + job + R"(","state":"completed","tookMs":")"
                          + std::to_string(tookMs) + "\"");
    }
    JobSummary onlyJob() const
    {
        const Findings found = this->attribution.findings();
        REQUIRE(found.jobs.size() == 1);
        return found.jobs.front();
    }

    Attribution attribution;
};

std::int64_t delayOf(const JobSummary &job, DelayCause cause)
{
    return job.delays[static_cast<std::size_t>(cause)];
}

} // namespace

TEST_CASE("a job that meets its objective is not delayed", "[attribution]")
{
    LogFixture log;
    log.acceptJob(0, "1");
    log.placeStep(10, "1.0.0", 1, "");
    log.endRun(510, "1.0.0.0#1=succeeded");
    log.completeJob(520, "1", 520);
    CHECK(log.onlyJob().fate == JobFate::InTime);
    CHECK_FALSE(isDelayed(log.onlyJob()));
}

TEST_CASE("the waiting time of a job that lacked room is attributed to room", "[attribution]")
{
    LogFixture log;
    log.acceptJob(0, "1");
    log.placeStep(2500, "1.0.0", 1, "admission:400,room:2000");
    log.endRun(3000, "1.0.0.0#1=succeeded");
    log.completeJob(3010, "1", 3010);
    const JobSummary job = log.onlyJob();
    CHECK(job.fate == JobFate::Late);
    CHECK(job.cause == DelayCause::Room);
    CHECK(delayOf(job, DelayCause::Room) == 2000);
    CHECK(delayOf(job, DelayCause::Admission) == 400);
    CHECK(delayOf(job, DelayCause::Unexplained) == 110);
}

TEST_CASE("the time of a run that was lost with its target is attributed to the lost target",
          "[attribution]")
{
    LogFixture log;
    log.acceptJob(0, "1");
    log.placeStep(10, "1.0.0", 1, "");
    log.endRun(3500, "1.0.0.0#1=lost");
    log.placeStep(3510, "1.0.0", 2, "");
    log.endRun(4000, "1.0.0.0#2=succeeded");
    log.completeJob(4000, "1", 4000);
    const JobSummary job = log.onlyJob();
    CHECK(job.cause == DelayCause::TargetLost);
    CHECK(delayOf(job, DelayCause::TargetLost) == 3490);
}

TEST_CASE("the time that a run takes beyond its estimate is attributed to a slow run",
          "[attribution]")
{
    LogFixture log;
    log.acceptJob(0, "1");
    log.addLine(10, "placed",
                R"(,"step":"1.0.0","run":"1","lives":"0@1","waitedMs":"","estimatedMs":"500")");
    log.addLine(1000, "plan", "");
    log.endRun(1510, "1.0.0.0#1=succeeded");
    log.completeJob(1510, "1", 1510);
    CHECK(log.onlyJob().cause == DelayCause::SlowRun);
    CHECK(delayOf(log.onlyJob(), DelayCause::SlowRun) == 1000);
}

TEST_CASE("a run that was placed before the log began is ignored", "[attribution]")
{
    LogFixture log;
    log.acceptJob(0, "1");
    log.endRun(1400, "1.0.0.0#1=never-started");
    log.completeJob(1500, "1", 1500);
    CHECK(delayOf(log.onlyJob(), DelayCause::TargetSilent) == 0);
}

TEST_CASE("time without a leader is attributed, also for a job that is never done", "[attribution]")
{
    LogFixture log;
    log.addLine(0, "leads", "");
    log.acceptJob(100, "1");
    log.addLine(200, "plan", "");
    log.addLine(2700, "leads", "", "core-2");
    log.addLine(3000, "plan", "", "core-2");
    const JobSummary job = log.onlyJob();
    CHECK(job.fate == JobFate::NeverDone);
    CHECK(job.tookMs == 2900);
    CHECK(job.cause == DelayCause::NoLeader);
    CHECK(delayOf(job, DelayCause::NoLeader) == 2500);
}

TEST_CASE("refused jobs are counted", "[attribution]")
{
    LogFixture log;
    log.addLine(5, "job-refused", R"(,"path":"/q/1","outcome":"no")");
    CHECK(log.onlyJob().fate == JobFate::Refused);
    CHECK(totalsOf(log.attribution.findings()).at("").jobs == 1);
}

TEST_CASE("log lines that are not events are ignored", "[attribution]")
{
    CHECK_FALSE(parseLogLine("started well"));
    CHECK_FALSE(parseLogLine("x {not json"));
    CHECK_FALSE(parseLogLine(R"({"event":"placed"})"));
    CHECK_FALSE(parseLogLine(R"({"event":"placed","time":"yesterday"})"));
    CHECK(parseLogLine(R"(a b | {"event":"e","time":"2026-01-02T03:04:05.5+0100"})")->process
          == "b");
}

TEST_CASE("the reports name causes and escape text from callers", "[attribution]")
{
    LogFixture log;
    log.addLine(0, "leads", "");
    log.acceptJob(0, "<1>");
    log.placeStep(2500, "<1>.0.0", 1, "room:2400");
    log.endRun(3000, "<1>.0.0.0#1=succeeded");
    log.completeJob(3000, "<1>", 3000);
    const Findings found = log.attribution.findings();
    CHECK(asTable(found).find("room") != std::string::npos);
    const auto json = nlohmann::json::parse(asJson(found));
    CHECK(json["delayedJobs"][0]["cause"] == "room");
    CHECK(json["queues"]["q"]["fates"]["late"] == 1);
    const std::string page = asHtml(found);
    CHECK(page.find("<1>") == std::string::npos);
    CHECK(page.find("&lt;1>") != std::string::npos);
}
