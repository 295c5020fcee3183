#include "attribution/report.h"

#include "attribution/totals.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <sstream>

namespace guavavalve::attribution {

namespace {

using nlohmann::json;

constexpr double msPerSecond = 1000.0;

json delaysOf(const DelayTimes &delays)
{
    json named = json::object();
    for (const auto &[cause, name] : delayCauseNames) {
        if (const std::int64_t ms = delays[static_cast<std::size_t>(cause)]; ms != 0)
            named[std::string(name)] = ms;
    }
    return named;
}

json describe(const JobSummary &job)
{
    return {{"job", job.job},
            {"queue", job.queue},
            {"account", job.account},
            {"fate", std::string(enumName(jobFateNames, job.fate))},
            {"acceptedAtMs", job.acceptedAtMs},
            {"tookMs", job.tookMs},
            {"objectiveMs", job.objectiveMs},
            {"cause", std::string(enumName(delayCauseNames, job.cause))},
            {"delaysMs", delaysOf(job.delays)}};
}

json describe(const QueueTotals &totals)
{
    json fates = json::object();
    for (const auto &[fate, name] : jobFateNames)
        fates[std::string(name)] = totals.byFate[static_cast<std::size_t>(fate)];
    json causes = json::object();
    for (const auto &[cause, name] : delayCauseNames) {
        if (const std::size_t jobs = totals.byCause[static_cast<std::size_t>(cause)]; jobs != 0)
            causes[std::string(name)] = jobs;
    }
    return {{"jobs", totals.jobs},
            {"fates", std::move(fates)},
            {"delayedByCause", std::move(causes)},
            {"delaysMs", delaysOf(totals.delays)}};
}

std::string padded(const std::string &text, std::size_t width)
{
    return text.size() < width ? text + std::string(width - text.size(), ' ') : text + " ";
}

std::string causeColor(std::size_t cause)
{
    static const std::array<const char *, delayCauseCount> colors{
        "#222222", "#7b3294", "#b2abd2", "#4575b4", "#d73027", "#fdae61", "#a50026",
        "#8c510a", "#dfc27d", "#1a9850", "#80cdc1", "#f1b6da", "#bbbbbb"};
    return colors[cause];
}

/// Maps calendar time to the horizontal axis of a chart that spans the whole log.
class TimeAxis
{
public:
    TimeAxis(std::int64_t beginsAtMs, std::int64_t endsAtMs)
        : beginsAtMs(beginsAtMs)
        , lengthMs(std::max<std::int64_t>(1, endsAtMs - beginsAtMs))
    {}

    static constexpr int width = 1000;
    double x(std::int64_t atMs) const
    {
        return static_cast<double>(width) * static_cast<double>(atMs - this->beginsAtMs)
            / static_cast<double>(this->lengthMs);
    }

private:
    std::int64_t beginsAtMs;
    std::int64_t lengthMs;
};

void drawRect(std::ostringstream &out, double x, double y, double width, double height,
              const std::string &color, const std::string &title)
{
    out << "<rect x='" << x << "' y='" << y << "' width='" << std::max(width, 0.5) << "' height='"
        << height << "' fill='" << color << "'><title>" << title << "</title></rect>\n";
}

std::string escaped(const std::string &text)
{
    std::string safe;
    for (const char c : text) {
        if (c == '<')
            safe += "&lt;";
        else if (c == '&')
            safe += "&amp;";
        else if (c == '\'')
            safe += "&#39;";
        else
            safe += c;
    }
    return safe;
}

void drawJobs(std::ostringstream &out, const Findings &findings)
{
    constexpr double rowHeight = 3.0;
    std::vector<const JobSummary *> delayed;
    for (const JobSummary &job : findings.jobs) {
        if (isDelayed(job))
            delayed.push_back(&job);
    }
    const TimeAxis axis(findings.beginsAtMs, findings.endsAtMs);
    const double height = rowHeight * static_cast<double>(delayed.size()) + rowHeight;
    out << "<svg viewBox='0 0 " << TimeAxis::width << ' ' << height
        << "' width='100%' preserveAspectRatio='none'>\n";
    for (const Span &span : findings.withoutLeader)
        drawRect(out, axis.x(span.first), 0, axis.x(span.second) - axis.x(span.first), height,
                 "#f4d9d9", "no leader");
    for (std::size_t i = 0; i < delayed.size(); ++i) {
        const JobSummary &job = *delayed[i];
        const std::string cause(enumName(delayCauseNames, job.cause));
        drawRect(out, axis.x(job.acceptedAtMs), rowHeight * static_cast<double>(i),
                 axis.x(job.acceptedAtMs + job.tookMs) - axis.x(job.acceptedAtMs), rowHeight - 1,
                 causeColor(static_cast<std::size_t>(job.cause)),
                 escaped(job.job + " " + job.queue + ": " + cause));
    }
    out << "</svg>\n";
}

void drawCauses(std::ostringstream &out, const std::string &queue, const QueueTotals &totals)
{
    constexpr int height = 24;
    double sum = 0;
    for (const std::int64_t ms : totals.delays)
        sum += static_cast<double>(ms);
    out << "<h3>" << escaped(queue.empty() ? "refused" : queue) << ": " << totals.jobs
        << " jobs, delays of " << sum / msPerSecond << " s</h3>\n<svg viewBox='0 0 "
        << TimeAxis::width << ' ' << height << "' width='100%'>\n";
    double x = 0;
    for (const auto &[cause, name] : delayCauseNames) {
        const auto i = static_cast<std::size_t>(cause);
        const double width =
            sum > 0 ? TimeAxis::width * static_cast<double>(totals.delays[i]) / sum : 0;
        if (width > 0)
            drawRect(out, x, 0, width, height, causeColor(i),
                     std::string(name) + " " + std::to_string(totals.delays[i]) + " ms");
        x += width;
    }
    out << "</svg>\n";
}

void drawLegend(std::ostringstream &out)
{
    out << "<p>";
    for (const auto &[cause, name] : delayCauseNames) {
        out << "<span style='background:" << causeColor(static_cast<std::size_t>(cause))
            << ";display:inline-block;width:1em;height:1em'></span> " << name << " &nbsp; ";
    }
    out << "</p>\n";
}

} // namespace

std::string asTable(const Findings &findings)
{
    constexpr std::size_t nameWidth = 16;
    constexpr std::size_t figureWidth = 12;
    std::ostringstream out;
    for (const auto &[queue, totals] : totalsOf(findings)) {
        out << (queue.empty() ? "refused" : queue) << ": " << totals.jobs << " jobs";
        for (const auto &[fate, name] : jobFateNames) {
            if (const std::size_t jobs = totals.byFate[static_cast<std::size_t>(fate)]; jobs != 0)
                out << ", " << jobs << ' ' << name;
        }
        out << "\n  " << padded("cause", nameWidth) << padded("delayed jobs", figureWidth + 2)
            << "seconds\n";
        for (const auto &[cause, name] : delayCauseNames) {
            const auto i = static_cast<std::size_t>(cause);
            if (totals.byCause[i] == 0 && totals.delays[i] == 0)
                continue;
            out << "  " << padded(std::string(name), nameWidth)
                << padded(std::to_string(totals.byCause[i]), figureWidth + 2)
                << static_cast<double>(totals.delays[i]) / msPerSecond << '\n';
        }
    }
    for (const Span &span : findings.withoutLeader) {
        out << "no leader for " << static_cast<double>(span.second - span.first) / msPerSecond
            << " s, starting "
            << static_cast<double>(span.first - findings.beginsAtMs) / msPerSecond
            << " s after the start of the log\n";
    }
    return out.str();
}

std::string asJson(const Findings &findings)
{
    constexpr int indent = 2;
    json jobs = json::array();
    for (const JobSummary &job : findings.jobs) {
        if (isDelayed(job))
            jobs.push_back(describe(job));
    }
    json queues = json::object();
    for (const auto &[queue, totals] : totalsOf(findings))
        queues[queue.empty() ? "refused" : queue] = describe(totals);
    json spans = json::array();
    for (const Span &span : findings.withoutLeader)
        spans.push_back({{"fromMs", span.first}, {"untilMs", span.second}});
    return json{{"queues", std::move(queues)},
                {"delayedJobs", std::move(jobs)},
                {"withoutLeader", std::move(spans)}}
               .dump(indent, ' ', false, json::error_handler_t::replace)
        + "\n";
}

std::string asHtml(const Findings &findings)
{
    std::ostringstream out;
    out << "<!doctype html><html><head><meta charset='utf-8'><title>Delayed jobs</title>"
           "<style>body{font-family:sans-serif;margin:2em;max-width:1100px}svg{border:1px solid "
           "#ccc}</style></head><body>\n<h1>Delayed jobs</h1>\n";
    drawLegend(out);
    out << "<h2>Timeline</h2><p>Each bar is a job that was late, refused or never done, from its "
           "acceptance to its end, in the colour of its main cause. Shaded: no leader. "
        << static_cast<double>(findings.endsAtMs - findings.beginsAtMs) / msPerSecond
        << " s in total.</p>\n";
    drawJobs(out, findings);
    out << "<h2>Where the time went</h2>\n";
    for (const auto &[queue, totals] : totalsOf(findings))
        drawCauses(out, queue, totals);
    out << "</body></html>\n";
    return out.str();
}

} // namespace guavavalve::attribution
