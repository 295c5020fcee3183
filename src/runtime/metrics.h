#pragma once

#include "runtime/metrictable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace guavavalve {

/// The metrics of one instance. Thread-safe.
///
/// Label values are passed in the order of the labels in the metric's row of metricTable(). A
/// metric has at most maxSeries series: teams and targets come and go for years, and with a series
/// for each of them the process would grow without bound. Further label values are counted under
/// "other".
class Metrics
{
public:
    using LabelValues = std::vector<std::string>;

    static constexpr std::size_t defaultMaxSeries = 2000; // 350 teams in 4 classes, and a reserve

    explicit Metrics(std::size_t maxSeries = defaultMaxSeries);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds \a by to a counter.
    void count(Metric metric, const LabelValues &labels = {}, double by = 1.0);

    /// Raises a counter to \a total, which is maintained elsewhere; a lower total has no effect.
    void raiseCounterTo(Metric metric, double total, const LabelValues &labels = {});

    /// Sets a gauge.
    void set(Metric metric, double value, const LabelValues &labels = {});

    /// Sets a gauge to exactly these series, and removes all others of it. Values whose labels are
    /// the same once they are cut, and those beyond the limit, are added up. No other thread may
    /// set the same gauge meanwhile.
    void replace(Metric metric, const std::map<LabelValues, double> &values);

    /// Adds an observation, in the metric's unit, to a histogram.
    void observe(Metric metric, double value, const LabelValues &labels = {});

    /// Adds a function that is called before each exposition, to update metrics whose values are
    /// maintained elsewhere.
    void addRefreshCallback(std::function<void(Metrics &)> refresh);

    /// All metrics in the Prometheus text format.
    std::string exposition();

    /// Upper bounds of the buckets of all histograms, in seconds, from 0.1 ms to 10 min.
    static const std::vector<double> &histogramBuckets();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Updates the metrics of the processor time and memory that this process uses, which are the cost
/// of the control plane.
void refreshProcessMetrics(Metrics &metrics);

} // namespace guavavalve
