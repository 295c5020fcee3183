#include "workflows/controller/controller.h"

#include <iterator>
#include <utility>
#include <vector>

// What a controller no longer has to know.

namespace guavavalve::workflows {

namespace {

/// A target that has been silent for this long and has nothing placed on it is forgotten.
constexpr Milliseconds silenceTimeout{15000};
constexpr Milliseconds forgetInterval{2000};

} // namespace

void Controller::forgetOld()
{
    const Instant now = this->options.clock();
    if (now < this->nextForget)
        return;
    this->nextForget = now + forgetInterval;
    const std::int64_t before = this->options.calendarMs() - this->options.retention.count();
    ForgetWorkflows command;
    this->machine.read([&](const WorkflowStore &store) {
        for (const auto &[id, workflow] : store.workflows()) {
            if (workflow.isOver() && workflow.placed == 0 && workflow.endedAtMs < before)
                command.ids.push_back(id);
        }
        for (auto step = this->admissions.begin(); step != this->admissions.end();) {
            const bool isLive = store.live().count(step->first.workflow) != 0;
            step = isLive || !step->second.asked.empty() ? std::next(step)
                                                         : this->admissions.erase(step);
        }
        for (auto moved = this->moveCounts.begin(); moved != this->moveCounts.end();) {
            const bool isLive = store.live().count(moved->first.step.workflow) != 0;
            moved = isLive ? std::next(moved) : this->moveCounts.erase(moved);
        }
        for (auto claim = this->claims.begin(); claim != this->claims.end();)
            claim = claim->second.until < now ? this->claims.erase(claim) : std::next(claim);
    });
    for (auto left = this->leasesLeft.begin(); left != this->leasesLeft.end();) {
        const bool isOld = left->second + this->options.session.longestOrderDelay < now;
        left = isOld ? this->leasesLeft.erase(left) : std::next(left);
    }
    this->waits.dropOld(now);
    if (!command.ids.empty())
        this->enqueue(std::move(command), [](const Result<CommandOutcome> &) {});
    std::vector<IncarnationId> silent;
    for (const auto &[incarnation, state] : this->incarnations) {
        if (state.session->isForgettable(silenceTimeout))
            silent.push_back(incarnation);
    }
    for (const IncarnationId incarnation : silent)
        this->incarnationOver(incarnation, IncarnationEnd::Silent);
}

} // namespace guavavalve::workflows
