#pragma once

#include "core/clock.h"
#include "workflows/model/ids.h"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <set>
#include <vector>

namespace guavavalve::workflows {

/// Tells the controller which targets have reported to another replica without new information.
struct ReportSummary
{
    static constexpr std::uint32_t currentVersion = 1;

    std::uint32_t version = currentVersion;
    std::vector<IncarnationId> heard;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->heard);
    }
};

/// Collects the targets whose reports a replica answers by itself, because its copy of the stored
/// state says the same. The controller hears of them in one summary for many targets, so that they
/// cost it nothing each. Pure; not thread-safe.
///
/// A replica answers only while the controller acknowledges its summaries: one that is cut off must
/// not keep targets from reporting elsewhere.
class ReportAggregator
{
public:
    /// How often a summary is sent, also an empty one.
    static constexpr Milliseconds summaryInterval{1000};
    /// How long reports are answered after an acknowledged summary. Well below the time of silence
    /// after which the controller forgets a target, even if the last reports are lost.
    static constexpr Milliseconds answerDuration{3000};

    bool mayAnswer(Instant now) const { return now < this->answersUntil; }
    /// A report of \a incarnation has been answered here.
    void add(IncarnationId incarnation) { this->heard.insert(incarnation); }
    /// The summary that is due; its content counts as sent.
    ReportSummary take();
    /// The controller has acknowledged a summary that was sent at \a sentAt.
    void acknowledged(Instant sentAt) { this->answersUntil = sentAt + answerDuration; }
    /// \a summary was not acknowledged: its content is sent again with the next one.
    void returned(const ReportSummary &summary);

private:
    std::set<IncarnationId> heard; ///< since the last summary
    Instant answersUntil{};
};

} // namespace guavavalve::workflows
