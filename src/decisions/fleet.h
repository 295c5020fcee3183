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

/// What to look for on the fleet.
struct TargetSearch
{
    Resources need;
    Availability availability = Availability::Normal;
    const Spread *spread = nullptr; ///< of the service that the task belongs to
};

/// What a search found.
struct TargetFound
{
    Index target = noIndex;
    std::uint32_t considered = 0; ///< targets weighed
};

/// All targets, indexed by the room that is left on them: targets with about the same room share
/// a bucket, and a search goes over buckets, so that its cost does not grow with the fleet.
class Fleet
{
public:
    /// The record of \a id, made if there is none.
    Index indexOf(TargetId id);

    /// The record of \a id or noIndex.
    Index find(TargetId id) const;

    TargetRecord &operator[](Index target) { return this->targets[target]; }
    const TargetRecord &operator[](Index target) const { return this->targets[target]; }
    Index limit() const { return this->targets.limit(); }

    /// To be called after any change of a target that bears on its room, zone or size.
    void refresh(Index target);

    /// The target where \a search fits best: little is left over, and evenly over the kinds of
    /// resource, so that what is left can be used (best fit with the alignment idea of Tetris,
    /// Grandl et al., 2014).
    TargetFound find(const TargetSearch &search);

    /// How well \a need fits into \a free on a target that is suspect to the degree \a suspicion;
    /// the lower, the better.
    double score(const Resources &need, const Resources &free, float suspicion) const;

    /// How many tasks of \a need the announced targets would hold if they were empty, counted up
    /// to \a enough. Departing ones count: they are about to be replaced, not gone for ever.
    std::uint64_t capacityFor(const Resources &need, std::uint64_t enough) const;

    const Resources &total() const { return this->totalRoom; } ///< of known, staying targets
    const Resources &largest() const { return this->largestTotal; } ///< ever seen, by kind
    const Resources &normalFree() const { return this->freeInNormal; } ///< free in Zone::Normal

    /// Keeps \a hold of the target for prompt work; nothing to let go.
    void setHeadroom(Index target, const Resources &hold);

    /// Targets with a hold, in no order.
    const std::vector<Index> &headroomTargets() const { return this->holding; }
    std::uint32_t known() const { return this->knownCount; }
    bool empty() const { return this->announcedCount == 0; } ///< none is announced

private:
    /// A target in its bucket, with what a search needs to know of it side by side in memory.
    struct Member
    {
        Resources free; ///< for work other than prompt
        Index target = noIndex;
        float suspicion = 0.0F;
    };
    struct Bucket
    {
        std::uint32_t key = 0;
        Availability availability = Availability::Normal;
        std::uint16_t domain = 0;
        Index activePosition = noIndex; ///< among the buckets of its zone with members
        std::vector<Member> members;
        Resources maxFree; ///< at least what any member has
    };
    struct SizeClass
    {
        Resources total;
        std::uint32_t targets = 0;
    };
    /// A bucket that may hold a fit, with the score of one of its members.
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
    void countSize(TargetRecord &target);
    void widenLargest(const Resources &total);
    void scan(const TargetSearch &search, Bucket &bucket, std::size_t most, double &best,
              TargetFound &found);
    double spreadPenalty(const Spread *spread, const TargetRecord &target) const;

    Slab<TargetRecord> targets;
    std::unordered_map<TargetId, Index> byId;
    std::vector<Bucket> buckets; ///< grows to the number of distinct keys seen
    std::array<std::vector<Index>, availabilityCount> active; ///< buckets with members, by zone
    std::unordered_map<std::uint32_t, Index> bucketByKey;
    std::vector<SizeClass> sizes;
    Resources largestTotal;
    std::array<double, resourceKindCount> inverseLargest{};
    Resources totalRoom;
    Resources freeInNormal;
    std::vector<Resources> countedFree; ///< by target: its part in freeInNormal
    std::vector<Index> holding;
    std::size_t scanStart = 0; ///< goes round, so that every member is looked at in time
    std::uint32_t knownCount = 0;
    std::uint32_t announcedCount = 0; ///< departing ones included
};

} // namespace guavavalve::internal
