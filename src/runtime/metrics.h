#pragma once

#include "runtime/metrictable.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {

/// The metrics of one instance. Safe from any thread.
///
/// Label values are given in the order of the metric's row in metricTable(). A metric holds at
/// most maxSeries series: teams and targets come and go for years, and a process that kept a
/// series for each would grow without end. What comes later is counted under "other".
class Metrics
{
public:
    using LabelValues = std::vector<std::string>;

    static constexpr std::size_t defaultMaxSeries = 2000; // 350 teams in 4 classes, and room

    explicit Metrics(std::size_t maxSeries = defaultMaxSeries);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds \a by to a counter.
    void count(Metric metric, const LabelValues &labels = {}, double by = 1.0);

    /// Raises a counter to \a total, which is kept elsewhere; a lower total changes nothing.
    void raiseCounterTo(Metric metric, double total, const LabelValues &labels = {});

    /// Sets a gauge.
    void set(Metric metric, double value, const LabelValues &labels = {});

    /// Adds an observation, in the metric's unit, to a histogram.
    void observe(Metric metric, double value, const LabelValues &labels = {});

    /// Has \a refresh called before each exposition, to set gauges that are read when asked for.
    void addRefreshCallback(std::function<void(Metrics &)> refresh);

    /// Everything in Prometheus' text format.
    std::string exposition();

    /// Upper bounds of the histogram's buckets in seconds, from 0.1 ms to 10 min.
    static const std::vector<double> &waitingBuckets();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Counts this process's own processor time and memory: the control cost of the brief.
void refreshProcessMetrics(Metrics &metrics);

} // namespace guavavalve
