#include "workflows/reports/reportaggregator.h"

namespace guavavalve::workflows {

ReportSummary ReportAggregator::take()
{
    ReportSummary summary;
    summary.heard.assign(this->heard.begin(), this->heard.end());
    this->heard.clear();
    return summary;
}

void ReportAggregator::returned(const ReportSummary &summary)
{
    this->heard.insert(summary.heard.begin(), summary.heard.end());
}

} // namespace guavavalve::workflows
