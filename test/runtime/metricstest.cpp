#include "runtime/metrics.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace guavavalve;

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("Metric names follow the conventions of Prometheus")
{
    std::set<std::string_view> names;
    for (const MetricDescription &row : metricTable()) {
        INFO(row.name);
        CHECK(names.insert(row.name).second);
        CHECK(row.name.substr(0, 11) == "guavavalve_");
        CHECK(row.name.find_first_not_of("abcdefghijklmnopqrstuvwxyz_") == std::string_view::npos);
        const bool total = row.name.size() > 6 && row.name.substr(row.name.size() - 6) == "_total";
        CHECK(total == (row.type == MetricType::Counter));
        if (row.unit == "seconds" || row.unit == "bytes" || row.unit == "ratio")
            CHECK(row.name.find(row.unit) != std::string_view::npos);
        CHECK_FALSE(row.doc.empty());
    }
}

TEST_CASE("The operators' page of metrics matches the table in the code")
{
    std::ifstream file(std::string(GUAVAVALVE_SOURCE_FOLDER) + "/docs/operators/metrics.md");
    REQUIRE(file.good());
    const std::string page{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    INFO("regenerate the table with: guavavalve help metrics");
    CHECK(contains(page, "\n" + metricsReference()));
}

TEST_CASE("Waiting time is a histogram by team and class with buckets from 0.1 ms to 10 min")
{
    Metrics metrics;
    metrics.observe(Metric::WaitingSeconds, 0.00005, {"brandvold", "prompt"});
    metrics.observe(Metric::WaitingSeconds, 700.0, {"brandvold", "batch"});
    const std::string text = metrics.exposition();
    CHECK(contains(text, "# TYPE guavavalve_waiting_seconds histogram"));
    CHECK(contains(text,
                   "guavavalve_waiting_seconds_bucket{class=\"prompt\",team=\"brandvold\","
                   "le=\"0.0001\"} 1"));
    CHECK(contains(text,
                   "guavavalve_waiting_seconds_bucket{class=\"batch\",team=\"brandvold\","
                   "le=\"600\"} 0"));
    CHECK(Metrics::histogramBuckets().front() == 0.0001);
    CHECK(Metrics::histogramBuckets().back() == 600.0);
}

// Team names are chosen by users, and teams come and go. If a metric kept a series for each name
// that it has ever seen, the process would run out of memory. Beyond the limit, new names are
// counted together.
TEST_CASE("Series beyond the limit are counted together as other")
{
    Metrics metrics(2);
    for (const char *team : {"a", "b", "c", "d"})
        metrics.set(Metric::TeamShareRatio, 0.25, {team});
    const std::string text = metrics.exposition();
    CHECK(contains(text, "guavavalve_team_share_ratio{team=\"b\"}"));
    CHECK_FALSE(contains(text, "guavavalve_team_share_ratio{team=\"c\"}"));
    CHECK(contains(text, "guavavalve_team_share_ratio{team=\"other\"}"));
    CHECK(contains(text, "guavavalve_series_dropped_total 2"));
}

TEST_CASE("Refresh callbacks run before each exposition, and counters never decrease")
{
    Metrics metrics;
    double total = 5.0;
    metrics.addRefreshCallback(
        [&total](Metrics &m) { m.raiseCounterTo(Metric::FramesRejectedTotal, total); });
    metrics.addRefreshCallback(refreshProcessMetrics);
    CHECK(contains(metrics.exposition(), "guavavalve_frames_rejected_total 5"));
    total = 3.0;
    const std::string text = metrics.exposition();
    CHECK(contains(text, "guavavalve_frames_rejected_total 5"));
    CHECK(contains(text, "guavavalve_control_memory_bytes "));
}

// Guards against gauges of accounts that no longer have work, with the values they had last.
TEST_CASE("Replacing a gauge removes the series that are gone")
{
    Metrics metrics;
    metrics.replace(Metric::AccountTasksWaiting, {{{"a", "q"}, 3.0}, {{"b", "q"}, 4.0}});
    metrics.replace(Metric::AccountTasksWaiting, {{{"b", "q"}, 5.0}, {{"c", "q"}, 6.0}});
    const std::string text = metrics.exposition();
    CHECK_FALSE(contains(text, "team=\"a\""));
    CHECK(contains(text, "guavavalve_account_tasks_waiting{class=\"q\",team=\"b\"} 5"));
    CHECK(contains(text, "guavavalve_account_tasks_waiting{class=\"q\",team=\"c\"} 6"));
    metrics.replace(Metric::AccountTasksWaiting, {});
    CHECK_FALSE(contains(metrics.exposition(), "guavavalve_account_tasks_waiting{"));
}

// Guards against a crash when one of two accounts whose long names begin alike has no more work.
TEST_CASE("Labels that are equal once they are cut share a series")
{
    Metrics metrics;
    const std::string begin(64, 'n');
    metrics.replace(Metric::AccountTasksWaiting,
                    {{{begin + "1", "q"}, 3.0}, {{begin + "2", "q"}, 4.0}});
    CHECK(contains(metrics.exposition(), "team=\"" + begin + "\"} 7"));
    metrics.replace(Metric::AccountTasksWaiting, {{{begin + "2", "q"}, 5.0}});
    CHECK(contains(metrics.exposition(), "team=\"" + begin + "\"} 5"));
    metrics.replace(Metric::AccountTasksWaiting, {{{"other", "q"}, 1.0}});
    CHECK_FALSE(contains(metrics.exposition(), begin));
}

// Guards against a sum of accounts beyond the limit that stays once they have no more work.
TEST_CASE("Replacing a gauge removes the series of labels beyond the limit")
{
    Metrics metrics(2);
    metrics.replace(Metric::AccountTasksWaiting,
                    {{{"a", "q"}, 1.0}, {{"b", "q"}, 2.0}, {{"c", "q"}, 3.0}, {{"d", "q"}, 4.0}});
    CHECK(contains(metrics.exposition(),
                   "guavavalve_account_tasks_waiting{class=\"other\",team=\"other\"} 7"));
    metrics.replace(Metric::AccountTasksWaiting, {{{"a", "q"}, 1.0}});
    CHECK_FALSE(contains(metrics.exposition(), "team=\"other\""));
    CHECK(contains(metrics.exposition(), "team=\"a\"} 1"));
}
