#include "decisions/fleet.h"

#include <algorithm>
#include <limits>

namespace guavavalve::internal {

namespace {

/// Number of levels by which buckets quantize free processors and memory, relative to the largest
/// target.
constexpr std::int64_t roomLevels = 8;
constexpr std::int64_t maxAcceleratorLevel = 4;
constexpr std::uint32_t domainsInKey = 64;
/// Members scored in each of the best buckets.
constexpr std::size_t maxMembersScored = 8;
/// Members examined in a bucket of which only some have enough room.
constexpr std::size_t maxMembersScanned = 64;
constexpr std::size_t bestBuckets = 4;
/// Buckets searched when the best ones contain no fit.
constexpr std::size_t maxFallbackBuckets = 16;
/// Ranks a bucket lower if its sampled member does not fit: other members may, but buckets whose
/// sample fits are certain to contain a fit.
constexpr double sampleMissPenalty = 1.0;

// Weights of the score; see docs/design/decisions.md.
constexpr double imbalanceWeight = 1.0;
constexpr double strandedAcceleratorWeight = 4.0;
constexpr double suspicionWeight = 0.5;
/// One more task in the same domain outweighs any difference in fit.
constexpr double domainWeight = 100.0;
constexpr double rackWeight = 10.0;

std::int64_t slotLevel(std::int64_t slots)
{
    if (slots >= 4)
        return 3;
    return slots >= 2 ? 2 : std::max<std::int64_t>(slots, 0);
}

} // namespace

Index Fleet::indexOf(TargetId id)
{
    const auto [entry, isNew] = this->byId.try_emplace(id, noIndex);
    if (isNew) {
        entry->second = this->targets.add();
        this->targets[entry->second].info.id = id;
        this->countedFree.resize(this->targets.limit());
    }
    return entry->second;
}

Index Fleet::find(TargetId id) const
{
    const auto entry = this->byId.find(id);
    return entry == this->byId.end() ? noIndex : entry->second;
}

void Fleet::refresh(Index index)
{
    TargetRecord &target = this->targets[index];
    this->leaveBucket(target);
    if (target.sizeClass == noIndex
        || target.countedInTotal != (target.known && !target.info.departing)
        || this->sizes[target.sizeClass].total != target.info.total)
        this->updateSizeClass(target);
    this->freeInNormal -= this->countedFree[index];
    this->countedFree[index] = Resources();
    if (target.availability() == Availability::Closed)
        return;
    this->growLargest(target.info.total);
    this->enterBucket(index);
    if (target.availability() == Availability::Normal) {
        this->countedFree[index] = target.sharedFree();
        this->freeInNormal += this->countedFree[index];
    }
}

void Fleet::setHeadroom(Index index, const Resources &headroom)
{
    TargetRecord &target = this->targets[index];
    target.headroom = headroom;
    const bool hasHeadroom = headroom != Resources();
    if (hasHeadroom && target.headroomPosition == noIndex) {
        target.headroomPosition = static_cast<Index>(this->withHeadroom.size());
        this->withHeadroom.push_back(index);
    } else if (!hasHeadroom && target.headroomPosition != noIndex) {
        this->withHeadroom[target.headroomPosition] = this->withHeadroom.back();
        this->targets[this->withHeadroom.back()].headroomPosition = target.headroomPosition;
        this->withHeadroom.pop_back();
        target.headroomPosition = noIndex;
    }
    this->refresh(index);
}

void Fleet::updateSizeClass(TargetRecord &target)
{
    if (target.sizeClass != noIndex) {
        SizeClass &size = this->sizes[target.sizeClass];
        if (target.countedInTotal) {
            --this->nonDeparting;
            this->totalCapacity -= size.total;
        }
        --size.targets;
        --this->announcedCount;
        target.sizeClass = noIndex;
    }
    target.countedInTotal = target.known && !target.info.departing;
    if (!target.known)
        return;
    auto size = std::find_if(this->sizes.begin(), this->sizes.end(), [&target](const auto &entry) {
        return entry.total == target.info.total;
    });
    if (size == this->sizes.end()) {
        size = std::find_if(this->sizes.begin(), this->sizes.end(),
                            [](const auto &entry) { return entry.targets == 0; });
    }
    if (size == this->sizes.end())
        size = this->sizes.insert(size, SizeClass());
    size->total = target.info.total;
    ++size->targets;
    ++this->announcedCount;
    target.sizeClass = static_cast<Index>(size - this->sizes.begin());
    if (target.countedInTotal) {
        ++this->nonDeparting;
        this->totalCapacity += target.info.total;
    }
}

void Fleet::growLargest(const Resources &total)
{
    if (total.fitsInto(this->largestTotal))
        return;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        std::int64_t &largestAmount = this->largestTotal.amounts[kind];
        largestAmount = std::max(largestAmount, total.amounts[kind]);
        if (largestAmount > 0)
            this->inverseLargest[kind] = 1.0 / static_cast<double>(largestAmount);
    }
    // Keys are relative to the largest target, so every target may have to change its bucket. This
    // happens only when a target is announced that is larger than all previous ones.
    for (Index index = 0; index < this->targets.limit(); ++index) {
        if (this->targets[index].bucket == noIndex)
            continue;
        this->leaveBucket(this->targets[index]);
        this->enterBucket(index);
    }
}

std::uint32_t Fleet::bucketKey(const TargetRecord &target) const
{
    const Resources free = target.sharedFree();
    const auto level = [this, &free](ResourceKind kind) {
        const std::int64_t most = std::max<std::int64_t>(this->largestTotal[kind], 1);
        return std::clamp<std::int64_t>(free[kind] * roomLevels / most, 0, roomLevels);
    };
    std::int64_t key = static_cast<std::int64_t>(target.availability());
    key = key * domainsInKey + target.info.failureDomain % domainsInKey;
    key = key * (roomLevels + 1) + level(ResourceKind::MilliCores);
    key = key * (roomLevels + 1) + level(ResourceKind::MemoryMb);
    key = key * (maxAcceleratorLevel + 1)
        + std::clamp<std::int64_t>(free[ResourceKind::Accelerators], 0, maxAcceleratorLevel);
    key = key * 4 + slotLevel(free[ResourceKind::Slots]);
    key = key * 2 + (free[ResourceKind::Connections] > 0 ? 1 : 0);
    return static_cast<std::uint32_t>(key);
}

void Fleet::leaveBucket(TargetRecord &target)
{
    if (target.bucket == noIndex)
        return;
    Bucket &bucket = this->buckets[target.bucket];
    const Member last = bucket.members.back();
    bucket.members[target.bucketPosition] = last;
    this->targets[last.target].bucketPosition = target.bucketPosition;
    bucket.members.pop_back();
    if (bucket.members.empty()) {
        bucket.maxFree = Resources();
        this->deactivate(target.bucket);
    }
    target.bucket = noIndex;
}

void Fleet::activate(Index index)
{
    Bucket &bucket = this->buckets[index];
    auto &activeBuckets = this->active[static_cast<std::size_t>(bucket.availability)];
    bucket.activePosition = static_cast<Index>(activeBuckets.size());
    activeBuckets.push_back(index);
}

void Fleet::deactivate(Index index)
{
    Bucket &bucket = this->buckets[index];
    auto &activeBuckets = this->active[static_cast<std::size_t>(bucket.availability)];
    activeBuckets[bucket.activePosition] = activeBuckets.back();
    this->buckets[activeBuckets.back()].activePosition = bucket.activePosition;
    activeBuckets.pop_back();
    bucket.activePosition = noIndex;
}

void Fleet::enterBucket(Index index)
{
    TargetRecord &target = this->targets[index];
    const std::uint32_t key = this->bucketKey(target);
    const auto [entry, isNew] =
        this->bucketByKey.try_emplace(key, static_cast<Index>(this->buckets.size()));
    if (isNew) {
        this->buckets.emplace_back();
        this->buckets.back().key = key;
        this->buckets.back().availability = target.availability();
        this->buckets.back().domain = target.info.failureDomain;
    }
    Bucket &bucket = this->buckets[entry->second];
    target.bucket = entry->second;
    target.bucketPosition = static_cast<Index>(bucket.members.size());
    const Resources free = target.sharedFree();
    bucket.members.push_back(Member{free, index, target.suspicion});
    if (bucket.members.size() == 1)
        this->activate(entry->second);
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
        bucket.maxFree.amounts[kind] = std::max(bucket.maxFree.amounts[kind], free.amounts[kind]);
}

double Fleet::score(const Resources &need, const Resources &free, float suspicion) const
{
    double sum = 0.0;
    double most = 0.0;
    double least = 1.0;
    for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
        const std::int64_t left = free.amounts[kind] - need.amounts[kind];
        const double part = static_cast<double>(left) * this->inverseLargest[kind];
        if (kind == static_cast<std::size_t>(ResourceKind::Accelerators)) {
            sum += need.amounts[kind] == 0 ? part * strandedAcceleratorWeight : part;
            continue;
        }
        sum += part;
        if (kind != static_cast<std::size_t>(ResourceKind::Connections)) {
            most = std::max(most, part);
            least = std::min(least, part);
        }
    }
    return sum + imbalanceWeight * (most - least)
        + suspicionWeight * static_cast<double>(suspicion);
}

double Fleet::spreadPenalty(const Spread *spread, const TargetRecord &target) const
{
    if (spread == nullptr)
        return 0.0;
    return domainWeight * spread->inDomain(target.info.failureDomain)
        + rackWeight * spread->inRack(target.info.rack);
}

void Fleet::scan(const TargetSearch &search, Bucket &bucket, std::size_t maxScored, double &best,
                 TargetFound &found)
{
    const std::size_t size = bucket.members.size();
    const std::size_t examined = std::min(size, maxMembersScanned);
    std::size_t scored = 0;
    Resources largest;
    for (std::size_t look = 0; look < examined && scored < maxScored; ++look) {
        const Member &member = bucket.members[(this->scanStart + look) % size];
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind)
            largest.amounts[kind] = std::max(largest.amounts[kind], member.free.amounts[kind]);
        if (!search.need.fitsInto(member.free))
            continue;
        ++scored;
        ++found.considered;
        double score = this->score(search.need, member.free, member.suspicion);
        if (search.spread != nullptr)
            score += this->spreadPenalty(search.spread, this->targets[member.target]);
        if (score < best) {
            best = score;
            found.target = member.target;
        }
    }
    // The bound only ever rises as members come and go. All members have just been examined, so it
    // can be made exact.
    if (scored == 0 && examined == size)
        bucket.maxFree = largest;
}

TargetFound Fleet::find(const TargetSearch &search)
{
    TargetFound found;
    double best = std::numeric_limits<double>::max();
    std::array<BucketRank, bestBuckets> ranks;
    std::size_t ranked = 0;
    std::size_t possible = 0;
    ++this->scanStart;
    for (const Index index : this->activeIn(search.availability)) {
        const Bucket &bucket = this->buckets[index];
        if (!search.need.fitsInto(bucket.maxFree))
            continue;
        ++possible;
        const Member &sample = bucket.members[this->scanStart % bucket.members.size()];
        BucketRank rank{this->score(search.need, sample.free, sample.suspicion), index};
        if (search.spread != nullptr)
            rank.score += this->spreadPenalty(search.spread, this->targets[sample.target]);
        if (!search.need.fitsInto(sample.free))
            rank.score += sampleMissPenalty;
        if (ranked < bestBuckets) {
            ranks[ranked++] = rank;
            continue;
        }
        auto worst = std::max_element(ranks.begin(), ranks.end(), [](const auto &a, const auto &b) {
            return a.score < b.score;
        });
        if (rank.score < worst->score)
            *worst = rank;
    }
    for (std::size_t i = 0; i < ranked; ++i)
        this->scan(search, this->buckets[ranks[i].bucket], maxMembersScored, best, found);
    if (found.target != noIndex || possible <= ranked)
        return found;
    std::size_t tries = 0;
    const std::vector<Index> &candidates = this->activeIn(search.availability);
    for (std::size_t i = 0; i < candidates.size() && tries < maxFallbackBuckets; ++i) {
        Bucket &bucket = this->buckets[candidates[(this->scanStart + i) % candidates.size()]];
        if (!search.need.fitsInto(bucket.maxFree))
            continue;
        ++tries;
        this->scan(search, bucket, 1, best, found);
        if (found.target != noIndex)
            break;
    }
    return found;
}

std::uint64_t Fleet::capacityFor(const Resources &need, std::uint64_t enough) const
{
    std::uint64_t capacity = 0;
    for (const SizeClass &size : this->sizes) {
        if (size.targets == 0 || !need.fitsInto(size.total))
            continue;
        std::uint64_t each = std::numeric_limits<std::uint32_t>::max();
        for (std::size_t kind = 0; kind < resourceKindCount; ++kind) {
            if (need.amounts[kind] > 0)
                each = std::min(
                    each,
                    static_cast<std::uint64_t>(size.total.amounts[kind] / need.amounts[kind]));
        }
        capacity += each * size.targets;
        if (capacity >= enough)
            return capacity;
    }
    return capacity;
}

} // namespace guavavalve::internal
