#pragma once

#include "controller/callstamp.h"
#include "core/clock.h"
#include "core/decayingrate.h"
#include "workflows/intake/accountbacklog.h"
#include "workflows/intake/intakedecision.h"
#include "workflows/intake/intakelimits.h"
#include "workflows/intake/intakereport.h"
#include "workflows/intake/refusedrequests.h"
#include "workflows/intake/storeoutcome.h"
#include "workflows/intake/sustaineddelay.h"
#include "workflows/model/policy.h"
#include "workflows/model/workflowspec.h"
#include "workflows/planning/queueload.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace guavavalve::workflows {

/// Decides which new requests a controller accepts. Pure: a request, what is known of the load, and
/// a time in, a decision out.
///
/// Everything is accepted unless a queue is overloaded: its work waits for room or for queries, or
/// the store takes so long, that a new request would use up half of the time that its objective
/// leaves it. Then requests of accounts beyond their weighted max-min fair share are refused, and
/// other requests only if their result would be of no use any more.
///
/// A refusal guarantees that the request does not run, although other attempts of it may be under
/// way: those sent before the refusal are refused too, and a request is never refused if it is
/// stored or may become so. See docs/design/hard-load.md.
class Intake
{
public:
    explicit Intake(IntakeLimits limits = IntakeLimits())
        : limits(limits)
        , refusals(limits.maxRefusedRequests)
    {}

    /// The controller begins to lead in \a term; everything learned before is forgotten.
    void begin(std::uint64_t term, Instant now);

    /// Decides on a request that is not stored.
    /// \a live: number of unfinished workflows in the store.
    /// \a isEvacuated: no target can run it until an operator ends an evacuation.
    IntakeDecision decide(const WorkflowSpec &spec, const CallStamp &stamp, const Policy &policy,
                          std::size_t live, Instant now, bool isEvacuated = false);

    /// True if so many workflows are \a live that their accounts matter, see liveCounted().
    bool isNearlyFull(std::size_t live) const;
    /// The unfinished workflows in the store, by client account; none unless it is nearly full.
    void liveCounted(const std::map<std::string, std::size_t> &byAccount, Instant now);

    /// The workflow is to be stored; it was not before. Each call is followed by one of settled(),
    /// unless the term ends before.
    void accepted(const WorkflowSpec &spec, Instant now);
    /// What became of one submission of the workflow, which was accepted in \a ofTerm.
    void settled(WorkflowId id, std::uint64_t ofTerm, StoreOutcome outcome, Instant now);
    /// True also if it may be stored although storing it has failed.
    bool isBeingStored(WorkflowId id) const
    {
        return this->beingStored.count(id) != 0 || this->uncertain.count(id) != 0;
    }

    /// A plan was made. \a unplanned: accepted workflows that it did not know of yet.
    /// \a freeMilliCores: of open targets, after its placements and reservations.
    void planned(const std::map<std::string, QueueLoad> &loads, std::int64_t freeMilliCores,
                 const std::vector<const WorkflowSpec *> &unplanned, Instant now);
    /// A plan of some of the steps was made: what it started counts, what waits is not known anew.
    void started(const std::map<std::string, QueueLoad> &loads, Instant now);

    /// Time until the work that waits in \a queue now has been started; zero unless it waits for
    /// room or for queries.
    Milliseconds expectedWait(const std::string &queue, Instant now) const;
    /// The refusals since the last report.
    IntakeReport takeReport();

private:
    /// Short enough to follow a change of load while callers still wait, and several plans long.
    static constexpr double rateSeconds = 2.0;

    struct Queue
    {
        AccountBacklog waiting; ///< found by the last plan, or accepted since; milli-core-ms
        DecayingRate started{rateSeconds}; ///< milli-core-ms per second
        std::int64_t waitingMilliCores = 0;
        std::int64_t smallestTaskMilliCores = 0; ///< of the waiting tasks; 0: there are none
        std::int64_t freeMilliCores = 0;
        bool isShortOfQueries = false;
        Instant shortSince{}; ///< zero: it is not short
        Instant lastShortAt{};
        Milliseconds overloadTarget{0}; ///< of the request that found it overloaded; 0: it is not
    };
    struct Storing
    {
        Instant since{};
        std::string account;
        std::size_t submissions = 1; ///< whose outcomes are open
    };

    /// What a new request can expect.
    struct Outlook
    {
        Milliseconds wait{0};
        Milliseconds waitWithinShare{0}; ///< of work within the shares, which is served first
        Milliseconds target{0}; ///< a longer wait counts as overload
        Milliseconds useful{0}; ///< after a longer wait the result is of no use
        bool isQueueOverloaded = false;
        bool isControllerOverloaded = false;
    };

    Outlook outlook(const WorkflowSpec &spec, const QueuePolicy &policy, Milliseconds age,
                    const AccountBacklog::WeightOf &weightOf, Instant now);
    bool isShort(const Queue &queue, const WorkflowSpec &spec) const;
    Milliseconds storingTime(Instant now) const;
    std::size_t nearlyFull() const;
    bool isStoreFullFor(const WorkflowSpec &spec, const Policy &policy, std::size_t live,
                        Instant now) const;
    bool isBeyondShare(const WorkflowSpec &spec, const Outlook &expected, Milliseconds waited,
                       const Policy &policy, Instant now) const;
    IntakeDecision refuse(const WorkflowSpec &spec, IntakeCause cause, Milliseconds wait,
                          Milliseconds retryAfter, Instant now);
    Milliseconds spreadRetryAfter(WorkflowId id, Milliseconds excess) const;
    void updateShortage(const std::string &name, Queue &queue, bool isWaiting, Instant now);
    void addUnplanned(const WorkflowSpec &spec);

    IntakeLimits limits;
    std::uint64_t term = 0;
    Instant beganAt{};
    std::map<std::string, Queue> queues;
    AccountBacklog unstored; ///< accepted requests of all queues that are not stored yet
    DecayingRate stored{rateSeconds}; ///< requests per second
    SustainedDelay storeDelay; ///< from acceptance until stored
    AccountBacklog live; ///< workflows, while the store is nearly full
    std::map<WorkflowId, Storing> beingStored;
    std::set<std::pair<Instant, WorkflowId>> storingSince; ///< of beingStored, oldest first
    /// Workflows that may be stored although storing them has failed, until the term ends.
    std::set<WorkflowId> uncertain;
    std::int64_t unplannedMilliCores = 0; ///< needed by what was accepted since the last plan
    RefusedRequests refusals;
    IntakeReport report;
};

} // namespace guavavalve::workflows
