#pragma once

#include "attribution/attribution.h"

#include <string>

namespace guavavalve::attribution {

/// The number of jobs by queue and fate, and the causes of the delays, as text for a terminal.
std::string asTable(const Findings &findings);

/// Every job that was late, refused or never done, and the totals by queue, as JSON.
std::string asJson(const Findings &findings);

/// A self-contained HTML page that plots the delayed jobs and the periods without a leader over
/// time, and shows the causes of each queue's delays.
std::string asHtml(const Findings &findings);

} // namespace guavavalve::attribution
