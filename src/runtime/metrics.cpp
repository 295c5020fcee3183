#include "runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <fstream>
#include <map>
#include <mutex>
#include <string_view>
#include <utility>

namespace guavavalve {

namespace {

constexpr std::size_t maxLabelLength = 64;
constexpr std::string_view overflowLabel = "other";

std::vector<std::string> splitLabels(std::string_view names)
{
    std::vector<std::string> result;
    while (!names.empty()) {
        const std::size_t comma = names.find(',');
        result.emplace_back(names.substr(0, comma));
        names = comma == std::string_view::npos ? std::string_view() : names.substr(comma + 1);
    }
    return result;
}

bool isTooLong(const std::string &value)
{
    return value.size() > maxLabelLength;
}

/// The labels as they are exposed. Labels that are equal once they are cut share one series.
Metrics::LabelValues cutLabels(Metrics::LabelValues labels)
{
    for (std::string &value : labels)
        value.resize(std::min(value.size(), maxLabelLength));
    return labels;
}

/// The series of one metric, each created when its label values are first used.
struct Series
{
    std::mutex mutex;
    std::vector<std::string> labelNames;
    prometheus::Family<prometheus::Counter> *counters = nullptr;
    prometheus::Family<prometheus::Gauge> *gauges = nullptr;
    prometheus::Family<prometheus::Histogram> *histograms = nullptr;
    // A look-up in the family would copy and sort the labels for each observation.
    std::map<std::vector<std::string>, void *> seriesByLabels; ///< by cut labels
    void *overflow = nullptr; ///< for labels beyond the limit; null while there are none
};

} // namespace

struct Metrics::Private
{
    prometheus::Registry registry;
    std::array<Series, metricCount> series;
    std::size_t maxSeries = 0;
    std::mutex sourcesMutex;
    std::vector<std::function<void(Metrics &)>> sources;

    void registerAll();
    void *find(Metric metric, const LabelValues &labels);
    void *add(Series &family, const LabelValues &labels) const;
    void countOverflow();
};

void Metrics::Private::registerAll()
{
    for (const MetricDescription &row : metricTable()) {
        Series &family = this->series[static_cast<std::size_t>(row.metric)];
        const std::string name(row.name);
        const std::string help(row.doc);
        family.labelNames = splitLabels(row.labels);
        switch (row.type) {
        case MetricType::Counter:
            family.counters =
                &prometheus::BuildCounter().Name(name).Help(help).Register(this->registry);
            break;
        case MetricType::Gauge:
            family.gauges =
                &prometheus::BuildGauge().Name(name).Help(help).Register(this->registry);
            break;
        case MetricType::Histogram:
            family.histograms =
                &prometheus::BuildHistogram().Name(name).Help(help).Register(this->registry);
            break;
        }
    }
}

void *Metrics::Private::add(Series &family, const LabelValues &values) const
{
    prometheus::Labels labels;
    for (std::size_t i = 0; i < values.size(); ++i)
        labels.emplace(family.labelNames[i], values[i]);
    if (family.counters != nullptr)
        return &family.counters->Add(labels);
    if (family.gauges != nullptr)
        return &family.gauges->Add(labels);
    return &family.histograms->Add(labels, Metrics::histogramBuckets());
}

void Metrics::Private::countOverflow()
{
    static_cast<prometheus::Counter *>(this->find(Metric::SeriesDroppedTotal, {}))->Increment();
}

void *Metrics::Private::find(Metric metric, const LabelValues &labels)
{
    Series &family = this->series[static_cast<std::size_t>(metric)];
    assert(labels.size() == family.labelNames.size()
           && "pass one value for each label of the metric's row");
    if (std::any_of(labels.begin(), labels.end(), isTooLong))
        return this->find(metric, cutLabels(labels));
    std::unique_lock<std::mutex> lock(family.mutex);
    const auto found = family.seriesByLabels.find(labels);
    if (found != family.seriesByLabels.end())
        return found->second;
    if (family.seriesByLabels.size() < this->maxSeries) {
        void *added = this->add(family, labels);
        family.seriesByLabels.emplace(labels, added);
        return added;
    }
    const LabelValues other(labels.size(), std::string(overflowLabel));
    void *overflow = this->add(family, other);
    family.overflow = overflow;
    lock.unlock();
    this->countOverflow();
    return overflow;
}

Metrics::Metrics(std::size_t maxSeries)
    : d(std::make_unique<Private>())
{
    this->d->maxSeries = maxSeries;
    this->d->registerAll();
}

Metrics::~Metrics() = default;

const std::vector<double> &Metrics::histogramBuckets()
{
    static const std::vector<double> bounds{0.0001, 0.0003, 0.001, 0.002, 0.005, 0.01,
                                            0.02,   0.05,   0.1,   0.25,  0.5,   1.0,
                                            3.1,    10.0,   30.0,  60.0,  180.0, 600.0};
    return bounds;
}

void Metrics::count(Metric metric, const LabelValues &labels, double by)
{
    assert(describe(metric).type == MetricType::Counter && "count() requires a counter");
    static_cast<prometheus::Counter *>(this->d->find(metric, labels))->Increment(by);
}

void Metrics::raiseCounterTo(Metric metric, double total, const LabelValues &labels)
{
    assert(describe(metric).type == MetricType::Counter && "raiseCounterTo() requires a counter");
    auto *counter = static_cast<prometheus::Counter *>(this->d->find(metric, labels));
    const double missing = total - counter->Value();
    if (missing > 0.0)
        counter->Increment(missing);
}

void Metrics::set(Metric metric, double value, const LabelValues &labels)
{
    assert(describe(metric).type == MetricType::Gauge && "set() requires a gauge");
    static_cast<prometheus::Gauge *>(this->d->find(metric, labels))->Set(value);
}

void Metrics::replace(Metric metric, const std::map<LabelValues, double> &values)
{
    assert(describe(metric).type == MetricType::Gauge && "replace() requires a gauge");
    Series &family = this->d->series[static_cast<std::size_t>(metric)];
    std::map<LabelValues, double> kept;
    double beyondLimit = 0.0;
    for (const auto &[labels, value] : values) {
        LabelValues cut = cutLabels(labels);
        if (kept.size() < this->d->maxSeries || kept.count(cut) != 0)
            kept[std::move(cut)] += value;
        else
            beyondLimit += value;
    }
    {
        const std::lock_guard<std::mutex> lock(family.mutex);
        // A caller's own label may be the overflow's: then both are one series.
        bool isOverflowShared = false;
        for (auto one = family.seriesByLabels.begin(); one != family.seriesByLabels.end();) {
            if (kept.count(one->first) != 0) {
                isOverflowShared |= one->second == family.overflow;
                ++one;
                continue;
            }
            if (one->second == family.overflow)
                family.overflow = nullptr;
            family.gauges->Remove(static_cast<prometheus::Gauge *>(one->second));
            one = family.seriesByLabels.erase(one);
        }
        if (family.overflow != nullptr && !isOverflowShared)
            family.gauges->Remove(static_cast<prometheus::Gauge *>(family.overflow));
        family.overflow = nullptr;
    }
    for (const auto &[labels, value] : kept)
        this->set(metric, value, labels);
    if (beyondLimit > 0.0) {
        const LabelValues other(family.labelNames.size(), std::string(overflowLabel));
        const auto own = kept.find(other);
        this->set(metric, beyondLimit + (own == kept.end() ? 0.0 : own->second), other);
    }
}

void Metrics::observe(Metric metric, double value, const LabelValues &labels)
{
    assert(describe(metric).type == MetricType::Histogram && "observe() requires a histogram");
    static_cast<prometheus::Histogram *>(this->d->find(metric, labels))->Observe(value);
}

void Metrics::addRefreshCallback(std::function<void(Metrics &)> refresh)
{
    const std::lock_guard<std::mutex> lock(this->d->sourcesMutex);
    this->d->sources.push_back(std::move(refresh));
}

std::string Metrics::exposition()
{
    std::vector<std::function<void(Metrics &)>> sources;
    {
        const std::lock_guard<std::mutex> lock(this->d->sourcesMutex);
        sources = this->d->sources;
    }
    for (const auto &refresh : sources)
        refresh(*this);
    return prometheus::TextSerializer().Serialize(this->d->registry.Collect());
}

void refreshProcessMetrics(Metrics &metrics)
{
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        constexpr double microsecond = 1e-6;
        const double seconds = static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
            + microsecond * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
        metrics.raiseCounterTo(Metric::ControlCpuSeconds, seconds);
    }
    std::ifstream statm("/proc/self/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    if (statm >> total >> resident) {
        const double bytes =
            static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
        metrics.set(Metric::ControlMemoryBytes, bytes);
    }
}

} // namespace guavavalve
