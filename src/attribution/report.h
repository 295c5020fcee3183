#pragma once

#include "attribution/attribution.h"

#include <string>

namespace guavavalve::attribution {

/// Jobs by queue and fate, and what the delayed ones waited for, as text for a terminal.
std::string asTable(const Findings &findings);

/// Every job that was late, refused or never done, and totals, as JSON.
std::string asJson(const Findings &findings);

/// The same as a page that needs nothing else: delayed jobs over time against the spans without a
/// leader, and what each queue's delays went to.
std::string asPage(const Findings &findings);

} // namespace guavavalve::attribution
