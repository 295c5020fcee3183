#pragma once

#include "core/ids.h"
#include "core/resources.h"
#include "decisions/indexes.h"
#include "decisions/slab.h"
#include "decisions/spread.h"
#include "decisions/targetrecord.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace guavavalve::internal {

/// Search criteria for a placement.
struct TargetSearch
{
    Resources need;
    Availability availability = Availability::Normal;
    const Spread *spread = nullptr; ///< of the task's service, or null
};

/// Result of a search.
struct TargetFound
{
    Index target = noIndex;
    std::uint32_t considered = 0; ///< targets that were scored
};

/// All targets, indexed by their free capacity. Targets with similar free capacity share a bucket,
/// and a search goes over buckets, so that its cost does not grow with the fleet.
class Fleet
{
public:
    /// The record of \a id; creates it if there is none.
    Index indexOf(TargetId id);

    /// The record of \a id or noIndex.
    Index find(TargetId id) const;

    TargetRecord &operator[](Index target) { return this->targets[target]; }
    const TargetRecord &operator[](Index target) const { return this->targets[target]; }
    Index limit() const { return this->targets.limit(); }

    /// Must be called after any change to a target's free capacity, availability or size.
    void refresh(Index target);

    /// The target that fits \a search best: it has the least capacity left over, balanced across
    /// the kinds of resource so that the remainder stays usable. This is best fit combined with
    /// the alignment idea of Tetris (Grandl et al., 2014).
    TargetFound find(const TargetSearch &search);

    /// Rates the fit of \a need into \a free on a target with the given \a suspicion. Lower is
    /// better.
    double score(const Resources &need, const Resources &free, float suspicion) const;

    /// The number of tasks of \a need that the announced targets could hold if they were empty;
    /// counting stops once \a enough is reached. Departing targets are included, since they are
    /// expected to be replaced.
    std::uint64_t capacityFor(const Resources &need, std::uint64_t enough) const;

    /// Total capacity of the targets that are known and not departing.
    const Resources &total() const { return this->totalCapacity; }

    /// Largest amount of each kind of resource that any target has announced so far.
    const Resources &largest() const { return this->largestTotal; }

    /// Free capacity of the targets in Availability::Normal.
    const Resources &normalFree() const { return this->freeInNormal; }

    /// Reserves \a headroom on the target for prompt work; an empty value removes it.
    void setHeadroom(Index target, const Resources &headroom);

    /// Targets with headroom, in no particular order.
    const std::vector<Index> &headroomTargets() const { return this->withHeadroom; }
    std::uint32_t nonDepartingTargets() const { return this->nonDeparting; }
    bool empty() const { return this->announcedCount == 0; } ///< no target is announced

private:
    /// A target in its bucket. The fields that a search reads are kept contiguous in memory.
    struct Member
    {
        Resources free; ///< available to work other than prompt
        Index target = noIndex;
        float suspicion = 0.0F;
    };
    struct Bucket
    {
        std::uint32_t key = 0;
        Availability availability = Availability::Normal;
        std::uint16_t domain = 0;
        Index activePosition = noIndex; ///< in the list of non-empty buckets with its availability
        std::vector<Member> members;
        Resources maxFree; ///< upper bound of the members' free capacity
    };
    struct SizeClass
    {
        Resources total;
        std::uint32_t targets = 0;
    };
    /// A bucket that may contain a fit, with the score of one sampled member.
    struct BucketRank
    {
        double score = 0.0;
        Index bucket = noIndex;
    };

    std::uint32_t bucketKey(const TargetRecord &target) const;
    void leaveBucket(TargetRecord &target);
    void enterBucket(Index index);
    void activate(Index bucket);
    void deactivate(Index bucket);
    const std::vector<Index> &activeIn(Availability availability) const
    {
        return this->active[static_cast<std::size_t>(availability)];
    }
    void updateSizeClass(TargetRecord &target);
    void growLargest(const Resources &total);
    void scan(const TargetSearch &search, Bucket &bucket, std::size_t maxScored, double &best,
              TargetFound &found);
    double spreadPenalty(const Spread *spread, const TargetRecord &target) const;

    Slab<TargetRecord> targets;
    std::unordered_map<TargetId, Index> byId;
    std::vector<Bucket> buckets; ///< grows to the number of distinct keys seen
    std::array<std::vector<Index>, availabilityCount> active; ///< non-empty buckets
    std::unordered_map<std::uint32_t, Index> bucketByKey;
    std::vector<SizeClass> sizes;
    Resources largestTotal;
    std::array<double, resourceKindCount> inverseLargest{};
    Resources totalCapacity;
    Resources freeInNormal;
    std::vector<Resources> countedFree; ///< by target: its contribution to freeInNormal
    std::vector<Index> withHeadroom;
    std::size_t scanStart = 0; ///< rotates, so that every member is visited eventually
    std::uint32_t nonDeparting = 0;
    std::uint32_t announcedCount = 0; ///< includes departing targets
};

} // namespace guavavalve::internal
