#include "raftsimulation.h"

#include "core/codec.h"
#include "journal/checksum.h"

#include <algorithm>
#include <sstream>

namespace guavavalve {

namespace {

constexpr std::size_t maxMessagesInFlight = 2000;
constexpr std::size_t statusBytes = sizeof(std::uint64_t);
constexpr Milliseconds tickTime{10};
constexpr const char *simulatedCluster = "simulation";
constexpr Milliseconds identifyTimeout{1000};
constexpr Milliseconds managerInterval{100};

std::string addressOf(std::size_t index)
{
    return std::to_string(index);
}

std::uint64_t nextState(std::uint64_t state, const LogEntry &entry)
{
    return checksumOf(entry.payload, state + entry.index);
}

} // namespace

RaftSimulation::RaftSimulation(std::uint64_t seed, std::size_t instances, std::size_t voters,
                               std::size_t copies, Milliseconds goneTime)
    : random(seed)
    , diskRandom(seed)
    , minCopies(copies)
    , goneAfter(goneTime)
{
    for (std::size_t i = 0; i < instances; ++i) {
        Node node;
        node.folder = std::make_shared<FakeFolder>();
        // Clock rates differ by up to 4 %, less than the 10 % margin of the lease.
        node.clockRate = 0.98 + static_cast<double>(this->pick(41)) / 1000.0;
        this->nodes.push_back(std::move(node));
        this->boot(this->nodes.back());
    }
    MemberList list;
    list.formation = seed + 1;
    for (std::size_t i = 0; i < voters; ++i)
        list.members.push_back({addressOf(i), this->nodes[i].identity, addressOf(i), true});
    if (!this->core(0).form(list, this->clockOf(this->nodes[0])))
        this->fail("the group could not be formed");
    this->processOutput(0);
}

RaftSimulation::RaftSimulation(std::uint64_t seed, std::size_t instances)
    : random(seed)
    , diskRandom(seed)
{
    for (std::size_t i = 0; i < instances; ++i) {
        Node node;
        node.folder = std::make_shared<FakeFolder>();
        node.clockRate = 0.98 + static_cast<double>(this->pick(41)) / 1000.0;
        node.hasStarted = false;
        node.startsAt = this->now + Milliseconds(this->pick(300));
        this->nodes.push_back(std::move(node));
    }
}

std::unique_ptr<RaftSimulation>
RaftSimulation::ofFirstStart(std::uint64_t seed, std::size_t instances, std::size_t tolerated)
{
    std::unique_ptr<RaftSimulation> made(new RaftSimulation(seed, instances));
    made->tolerated = tolerated;
    made->minCopies = tolerated + 1;
    for (std::size_t i = 0; i < 2 * tolerated - 1; ++i)
        made->founders.push_back({addressOf(i), addressOf(i)});
    return made;
}

RaftSimulation::~RaftSimulation() = default;

Instant RaftSimulation::clockOf(const Node &node) const
{
    const auto ticks = static_cast<double>(this->now.time_since_epoch().count());
    return Instant(Microseconds(static_cast<std::int64_t>(ticks * node.clockRate)));
}

void RaftSimulation::boot(Node &node)
{
    JournalOptions journalOptions;
    journalOptions.clusterId = simulatedCluster;
    journalOptions.segmentBytes = 2000;
    journalOptions.random = [this] { return this->random(); };
    const auto position = static_cast<std::size_t>(
        std::find_if(this->nodes.begin(), this->nodes.end(), [&](auto &n) { return &n == &node; })
        - this->nodes.begin());
    if (!std::exchange(node.hasStarted, true)) {
        journalOptions.identityIfEmpty =
            Founding(simulatedCluster, GroupId{}, this->founders).identityOf(addressOf(position));
    } else if (!this->founders.empty()) {
        journalOptions.identityIfEmpty = Founding::laterIdentity(this->random());
    }
    node.journal = std::make_unique<Journal>(std::make_unique<FakeDisk>(node.folder),
                                             std::move(journalOptions));
    node.unsaved = {};
    auto recovered = node.journal->recover();
    if (!recovered && recovered.error().code == ErrorCode::WriteRefused) {
        node.journal.reset();
        return; // its supervisor restarts it
    }
    if (!recovered && node.folder->hasCrashed()) {
        node.journal.reset();
        node.folder->crash(this->random);
        return;
    }
    if (!recovered) {
        this->fail("a replica failed to start: " + recovered.error().message);
        return;
    }
    node.identity = recovered.value().replica;
    node.applied = 0;
    node.state = 0;
    if (recovered.value().snapshot) {
        node.applied = recovered.value().snapshot->index;
        this->restoreState(node, recovered.value().snapshotState);
    }
    RaftCoreOptions options;
    options.instance = addressOf(position);
    options.maxBatchBytes = 400;
    options.maxInFlightBytes = 2000;
    options.snapshotChunkBytes = 3; // splits the eight bytes of state into several chunks
    options.minCopies = this->minCopies;
    options.goneAfter = this->goneAfter;
    if (this->goneAfter > Milliseconds(0))
        options.learnerTimeout = this->goneAfter;
    options.retainedEntries = 5;
    options.random = [this] { return this->random(); };
    node.core =
        std::make_unique<RaftCore>(std::move(options), recovered.value(), this->clockOf(node));
    if (this->tolerated > 0)
        this->startFormation(position);
}

/// What a GroupManager sees of a simulated replica.
class RaftSimulation::SimulatedLog : public ReplicatedLog
{
public:
    SimulatedLog(RaftSimulation &owner, std::size_t node)
        : simulation(owner)
        , index(node)
    {}

    void propose(std::string, Done<std::string>) override {}
    ReplicaStatus status() const override
    {
        const RaftCore &core = this->simulation.core(this->index);
        ReplicaStatus status;
        status.role = core.role();
        status.formed = core.isFormed();
        for (const MemberRecord &member : core.members().members)
            status.members.push_back({member.instance, member.address, member.voter, 0});
        return status;
    }
    bool holdsLeaderLease() const override { return false; }
    void form(std::vector<ReplicaMember> members, Done<Nothing> done) override
    {
        this->simulation.nodes[this->index].formation->form(members, done);
    }
    /// As RaftDriver::addMember().
    void addMember(ReplicaMember member, Done<Nothing>) override
    {
        this->simulation.identify(
            this->index, member.address, {}, [this, member](const Result<IdentityReply> &answer) {
                RaftCore &core = this->simulation.core(this->index);
                const bool isOurs = answer
                    && (answer.value().formation == 0
                        || answer.value().formation == core.formation());
                if (isOurs && core.role() == ReplicaRole::Leader)
                    (void)core.addLearner(
                        {member.instance, answer.value().replica, member.address, false});
            });
    }
    void removeMember(InstanceId, Done<Nothing>) override {}
    void transferLeadership(Done<Nothing>) override {}

private:
    RaftSimulation &simulation;
    std::size_t index;
};

void RaftSimulation::startFormation(std::size_t index)
{
    Node &node = this->nodes[index];
    const Clock clock = [this, index] { return this->clockOf(this->nodes[index]); };
    RaftOptions options;
    options.instance = addressOf(index);
    options.clusterId = simulatedCluster;
    options.founders = this->founders;
    options.clock = clock;
    options.random = [this] { return this->random(); };
    FormationHooks hooks;
    hooks.identify = [this, index](const std::string &address, const IdentifyRequest &request,
                                   const Identified &done) {
        this->identify(index, address, request, done);
    };
    hooks.onFirstEntry = [this](LogIndex, const Done<Nothing> &) { ++this->formations; };
    node.formation = std::make_unique<GroupFormation>(options, *node.core, std::move(hooks));
    node.log = std::make_unique<SimulatedLog>(*this, index);
    node.presence = std::make_unique<PresenceTable>(clock);
    GroupManagerOptions managing;
    managing.self = {addressOf(index), addressOf(index)};
    managing.founders = this->founders;
    managing.voters = 2 * this->tolerated + 1;
    managing.clock = clock;
    node.manager = std::make_shared<GroupManager>(managing, *node.log, *node.presence);
    if (node.formation->resumeFounding())
        this->processOutput(index);
}

void RaftSimulation::identify(std::size_t index, const std::string &address,
                              const IdentifyRequest &request, Identified done)
{
    const RaftCore &core = this->core(index);
    InFlightMessage inFlight;
    inFlight.from = index;
    inFlight.to = static_cast<std::size_t>(std::stoul(address));
    inFlight.token = ++this->lastToken;
    inFlight.message.formation = core.formation();
    inFlight.message.from = core.self();
    inFlight.message.body = request;
    this->identifications[inFlight.token] = {
        index, this->clockOf(this->nodes[index]) + identifyTimeout, std::move(done)};
    this->network.push_back(std::move(inFlight));
}

/// Handles what RaftDriver handles itself. False if the message is one for the core.
bool RaftSimulation::deliverIdentification(InFlightMessage &inFlight)
{
    if (!this->nodes[inFlight.to].formation)
        return false;
    if (inFlight.isReply) {
        const auto asked = this->identifications.find(inFlight.token);
        if (asked == this->identifications.end())
            return std::holds_alternative<IdentityReply>(inFlight.message.body)
                && this->calls.count(inFlight.token) == 0;
        const Identified done = std::move(asked->second.done);
        this->identifications.erase(asked);
        done(std::get<IdentityReply>(inFlight.message.body));
        return true;
    }
    GroupFormation &formation = *this->nodes[inFlight.to].formation;
    if (const auto *request = std::get_if<IdentifyRequest>(&inFlight.message.body)) {
        InFlightMessage answer;
        answer.from = inFlight.to;
        answer.to = inFlight.from;
        answer.isReply = true;
        answer.token = inFlight.token;
        answer.message.from = this->core(inFlight.to).self();
        answer.message.body = formation.onIdentifyRequest(*request);
        this->network.push_back(std::move(answer));
        return true;
    }
    formation.onMessage(inFlight.message);
    return false;
}

void RaftSimulation::expireIdentifications()
{
    for (auto next = this->identifications.begin(); next != this->identifications.end();) {
        const auto asked = next++;
        const std::size_t caller = asked->second.caller;
        Node &node = this->nodes[caller];
        if (this->now < node.frozenUntil || this->clockOf(node) < asked->second.deadline)
            continue;
        const Identified done = std::move(asked->second.done);
        this->identifications.erase(asked);
        done(guavavalve::failure(ErrorCode::DeadlineExceeded, "no answer"));
        this->processOutput(caller);
        next = this->identifications.begin();
    }
}

/// Reports the presence of an instance, as ControllerReplica takes it, and runs its GroupManager.
void RaftSimulation::manage(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!node.manager || this->now < node.frozenUntil
        || this->now < node.managedAt + managerInterval)
        return;
    node.managedAt = this->now;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        Node &other = this->nodes[i];
        const bool isHeard =
            other.core && this->now >= other.frozenUntil && (i == index || !this->isCut(i, index));
        if (isHeard && (!other.core->isFormed() || other.core->role() == ReplicaRole::Leader))
            other.presence->record({addressOf(index), addressOf(index), true});
    }
    node.manager->tick();
    this->processOutput(index);
}

void RaftSimulation::restoreState(Node &node, const std::string &state)
{
    node.state = decode<std::uint64_t>(state).value();
    if (node.applied < this->stateAt.size() && this->stateAt[node.applied] != node.state)
        this->fail("the state in a snapshot differs from the committed state");
}

void RaftSimulation::send(std::size_t index, std::vector<OutgoingMessage> &messages)
{
    for (OutgoingMessage &outgoing : messages) {
        InFlightMessage inFlight;
        inFlight.from = index;
        inFlight.message = std::move(outgoing.message);
        if (outgoing.replyTo != 0) {
            const auto call = this->calls.find(outgoing.replyTo);
            if (call == this->calls.end())
                continue;
            inFlight.to = call->second.caller;
            inFlight.isReply = true;
            inFlight.token = outgoing.replyTo;
        } else {
            inFlight.to = static_cast<std::size_t>(std::stoul(outgoing.address));
            inFlight.token = ++this->lastToken;
            this->calls[inFlight.token] = {index, inFlight.message.to};
            if (auto *chunk = std::get_if<SnapshotRequest>(&inFlight.message.body)) {
                auto bytes = this->nodes[index].journal->readSnapshot(
                    chunk->meta.index, chunk->offset, outgoing.chunkBytes);
                if (!bytes)
                    continue;
                chunk->chunk = std::move(bytes).value();
            }
        }
        if (static_cast<int>(this->pick(100)) < this->faultRates.duplicate)
            this->network.push_back(inFlight);
        if (this->network.size() < maxMessagesInFlight)
            this->network.push_back(std::move(inFlight));
    }
    while (this->calls.size() > 4 * maxMessagesInFlight)
        this->calls.erase(this->calls.begin());
}

void RaftSimulation::processOutput(std::size_t index)
{
    Node &node = this->nodes[index];
    RaftOutput output = node.core->takeOutput();
    while (!output.isEmpty()) {
        if (output.fault)
            this->fail("violated invariant: " + output.fault->message);
        node.unsaved.add(std::move(output), this->hooksOf(index));
        if (!this->store(index))
            return;
        output = node.core->takeOutput();
    }
    if (this->store(index) && !node.unsaved.holdsSnapshot())
        this->apply(node);
}

UnsavedOutput::Hooks RaftSimulation::hooksOf(std::size_t index)
{
    UnsavedOutput::Hooks hooks;
    hooks.send = [this, index](std::vector<OutgoingMessage> &messages) {
        this->send(index, messages);
    };
    hooks.onSnapshotSaved = [this, index](const InstalledSnapshot &snapshot) -> Result<void> {
        Node &node = this->nodes[index];
        ++this->snapshotsInstalled;
        if (snapshot.meta.index < node.applied)
            this->fail("a snapshot reverted a replica to an earlier state");
        node.applied = snapshot.meta.index;
        this->restoreState(node, snapshot.state);
        return boost::outcome_v2::success();
    };
    return hooks;
}

/// Returns false if the replica was killed during the write.
bool RaftSimulation::store(std::size_t index)
{
    Node &node = this->nodes[index];
    if (node.unsaved.isEmpty())
        return true;
    const auto stored = node.unsaved.store(*node.journal, this->hooksOf(index));
    if (stored) {
        node.core->persisted();
        return true;
    }
    if (stored.error().code == ErrorCode::WriteRefused) {
        ++this->refusals;
        return true;
    }
    this->crash(index);
    return false;
}

void RaftSimulation::apply(Node &node)
{
    for (const LogEntry &entry : node.core->takeCommitted(1 << 20)) {
        const auto known = this->committed.find(entry.index);
        if (known == this->committed.end()) {
            this->committed[entry.index] = {entry.term, entry.payload};
            this->highestCommittedTerm = std::max(this->highestCommittedTerm, entry.term);
            if (entry.index != this->stateAt.size())
                this->fail("an entry was committed out of order");
            this->stateAt.push_back(nextState(this->stateAt.back(), entry));
        } else if (known->second != std::make_pair(entry.term, entry.payload)) {
            this->fail("two different entries were committed at index "
                       + std::to_string(entry.index));
        }
        if (entry.index != node.applied + 1)
            this->fail("a replica applied entries out of order");
        node.applied = entry.index;
        node.state = nextState(node.state, entry);
        if (node.state != this->stateAt[entry.index])
            this->fail("two replicas have different states");
    }
}

void RaftSimulation::tick(Node &node)
{
    if (!node.core || this->now < node.frozenUntil)
        return;
    node.core->tick(this->clockOf(node));
}

void RaftSimulation::deliver()
{
    if (this->network.empty())
        return;
    const bool isDelayed = static_cast<int>(this->pick(100)) < this->faultRates.delay;
    const std::size_t at = isDelayed ? this->pick(this->network.size()) : 0;
    InFlightMessage inFlight = std::move(this->network[at]);
    this->network.erase(this->network.begin() + static_cast<std::ptrdiff_t>(at));
    Node &node = this->nodes[inFlight.to];
    if (this->isCut(inFlight.from, inFlight.to) || !node.core
        || static_cast<int>(this->pick(100)) < this->faultRates.drop) {
        Node &sender = this->nodes[inFlight.from];
        const bool isTold = !inFlight.isReply && sender.core && this->pick(2) == 0;
        if (isTold)
            sender.core->unreachable(inFlight.message.to, this->clockOf(sender));
        return;
    }
    if (this->now < node.frozenUntil) {
        this->network.push_back(std::move(inFlight)); // stays in the socket buffer
        return;
    }
    if (this->deliverIdentification(inFlight)) {
        this->processOutput(inFlight.to);
        return;
    }
    node.core->receive(std::move(inFlight.message), inFlight.isReply ? 0 : inFlight.token,
                       this->clockOf(node));
    this->processOutput(inFlight.to);
}

bool RaftSimulation::isCut(std::size_t a, std::size_t b) const
{
    return this->isolated.count(a) != this->isolated.count(b)
        || this->cutLinks.count(std::minmax(a, b)) != 0;
}

void RaftSimulation::crash(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!node.core)
        return;
    ++this->crashes;
    for (auto asked = this->identifications.begin(); asked != this->identifications.end();)
        asked =
            asked->second.caller == index ? this->identifications.erase(asked) : std::next(asked);
    node.manager.reset();
    node.formation.reset();
    node.core.reset();
    node.journal.reset();
    node.unsaved = {};
    if (this->diskRandom() % 2 == 0)
        node.folder->crash(this->random);
    else
        node.folder->kill();
}

void RaftSimulation::restart(std::size_t index)
{
    if (!this->nodes[index].core)
        this->boot(this->nodes[index]);
}

/// A lost disk is equivalent to a lost machine. The group tolerates it only if no other replica
/// that lost its disk still counts as a voter in any list, and enough voters remain.
bool RaftSimulation::canLoseDisk() const
{
    std::size_t fewest = this->nodes.size();
    for (const Node &node : this->nodes) {
        if (!node.core)
            return false; // its stored lists cannot be inspected
        if (!node.core->isFormed() || node.core->members().members.empty())
            continue;
        for (const MemberList *list : {&node.core->members(), &node.core->committedMembers()}) {
            fewest = std::min(fewest, list->voters());
            for (const MemberRecord &member : list->members) {
                const bool isLost = this->lostIdentities.count(member.replica) != 0;
                if (isLost && member.voter)
                    return false;
            }
        }
    }
    return fewest >= 3;
}

void RaftSimulation::eraseDisk(std::size_t index)
{
    this->crash(index);
    ++this->lostDisks;
    this->lostIdentities.insert(this->nodes[index].identity);
    *this->nodes[index].folder = FakeFolder();
    this->restart(index);
}

std::optional<std::size_t> RaftSimulation::leader() const
{
    std::optional<std::size_t> found;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const bool leads = this->isAlive(i) && this->core(i).role() == ReplicaRole::Leader;
        if (leads && (!found || this->core(i).term() > this->core(*found).term()))
            found = i;
    }
    return found;
}

bool RaftSimulation::proposeAtLeader()
{
    const auto index = this->leader();
    if (!index || this->now < this->nodes[*index].frozenUntil)
        return false;
    const std::size_t batch = 1 + this->pick(3);
    bool isProposed = false;
    for (std::size_t i = 0; i < batch; ++i)
        isProposed = this->core(*index).propose("c" + std::to_string(++this->commands)).has_value();
    this->processOutput(*index);
    return isProposed;
}

bool RaftSimulation::addMember(std::size_t index)
{
    const auto leads = this->leader();
    const bool isPossible = leads && this->isAlive(index)
        && (!this->core(index).isFormed()
            || this->core(index).formation() == this->core(*leads).formation());
    if (!isPossible)
        return false;
    const bool isAdded =
        this->core(*leads)
            .addLearner({addressOf(index), this->nodes[index].identity, addressOf(index), false})
            .has_value();
    this->memberChanges += isAdded ? 1 : 0;
    this->processOutput(*leads);
    return isAdded;
}

void RaftSimulation::takeSnapshot(std::size_t index)
{
    Node &node = this->nodes[index];
    if (!node.core || node.applied <= node.core->entries().baseIndex() || node.applied == 0
        || !node.unsaved.isEmpty())
        return;
    const std::string state = encode(node.state);
    SnapshotMeta meta;
    meta.index = node.applied;
    meta.term = node.core->entries().termAt(node.applied).value();
    meta.members = encode(node.core->membersAt(node.applied));
    meta.size = state.size();
    meta.checksum = checksumOf(state);
    if (const auto saved = node.journal->saveSnapshot(meta, state); !saved) {
        if (saved.error().code != ErrorCode::WriteRefused)
            this->crash(index);
        return;
    }
    node.core->compact(meta);
    if (!node.journal->release(meta.index))
        this->crash(index);
}

void RaftSimulation::transfer(std::size_t index)
{
    (void)this->core(index).transferLeadership(this->clockOf(this->nodes[index])).has_value();
    this->processOutput(index);
}

void RaftSimulation::randomFault()
{
    const std::size_t index = this->pick(this->nodes.size());
    Node &node = this->nodes[index];
    switch (this->pick(12)) {
    case 0:
        this->crash(index);
        break;
    case 1:
    case 2:
        this->restart(index);
        break;
    case 3: // killed within the next few disk operations
        if (node.core && node.folder->stepsLeft < 0)
            node.folder->stepsLeft = static_cast<std::int64_t>(1 + this->pick(8));
        break;
    case 4:
        if (this->isolated.size() < 2)
            this->isolated.insert(index);
        break;
    case 5:
        this->isolated.clear();
        this->cutLinks.clear();
        break;
    case 6:
        node.frozenUntil = this->now + Milliseconds(this->pick(1500));
        break;
    case 7:
        this->powerLoss();
        break;
    case 8:
    case 9:
        this->cutLink(index, this->pick(this->nodes.size()));
        break;
    default:
        if (this->canLoseDisk())
            this->eraseDisk(index);
    }
}

/// Kills all replicas at once, each during one of its next writes.
void RaftSimulation::powerLoss()
{
    for (Node &node : this->nodes) {
        if (node.core)
            node.folder->stepsLeft = static_cast<std::int64_t>(1 + this->pick(3));
    }
    for (int i = 0; i < 60; ++i) {
        this->proposeAtLeader();
        this->deliver();
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->crash(i);
        this->restart(i);
    }
}

void RaftSimulation::randomMemberChange()
{
    const auto leads = this->leader();
    if (!leads || this->now < this->nodes[*leads].frozenUntil)
        return;
    const std::size_t index = this->pick(this->nodes.size());
    RaftCore &core = this->core(*leads);
    if (this->pick(4) == 0) {
        this->transfer(*leads);
    } else if (core.members().voters() > 3 && this->pick(2) == 0) {
        this->memberChanges += core.removeInstance(addressOf(index)).has_value() ? 1 : 0;
    } else {
        this->addMember(index);
        return;
    }
    this->processOutput(*leads);
}

void RaftSimulation::step()
{
    if (!this->violation.empty())
        return;
    this->toggleFullDisk();
    const std::uint64_t choice = this->pick(1000);
    if (choice < 300) {
        this->passTime(Microseconds(200 + this->pick(3000)));
    } else if (choice < 950) {
        this->deliver();
    } else if (choice < 980) {
        this->proposeAtLeader();
    } else if (choice < 990) {
        this->takeSnapshot(this->pick(this->nodes.size()));
    } else if (choice < 995) {
        this->randomFault();
    } else if (choice < 998) {
        this->randomMemberChange();
    }
    this->check();
}

void RaftSimulation::passTime(Microseconds duration)
{
    this->now += duration;
    this->expireIdentifications();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->nodes[i].hasStarted && this->now >= this->nodes[i].startsAt)
            this->restart(i);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->tick(this->nodes[i]);
        if (this->nodes[i].core && this->now >= this->nodes[i].frozenUntil)
            this->processOutput(i);
        this->manage(i);
    }
    this->admitSpare();
}

/// As RaftDriver::admitSpare().
void RaftSimulation::admitSpare()
{
    const auto leads = this->leader();
    if (this->goneAfter == Milliseconds(0) || !leads || this->now < this->nodes[*leads].frozenUntil)
        return;
    RaftCore &leader = this->core(*leads);
    const auto gone = leader.findUnresponsiveVoter(this->goneAfter / 2);
    for (std::size_t i = 0; gone && i < this->nodes.size(); ++i) {
        const auto &all = leader.members().members;
        const bool isMember = std::any_of(all.begin(), all.end(), [i](const MemberRecord &member) {
            return member.instance == addressOf(i);
        });
        const bool isFree = this->isAlive(i) && !this->isCut(*leads, i) && !isMember
            && (!this->core(i).isFormed() || this->core(i).formation() == leader.formation());
        if (!isFree)
            continue;
        this->memberChanges += leader
                                   .addLearner({addressOf(i), this->nodes[i].identity, addressOf(i),
                                                false, gone->replica})
                                   .has_value()
            ? 1
            : 0;
        this->processOutput(*leads);
        return;
    }
}

void RaftSimulation::stepOfFounding()
{
    if (!this->violation.empty())
        return;
    const std::uint64_t choice = this->pick(1000);
    if (choice < 300) {
        this->passTime(Microseconds(200 + this->pick(3000)));
    } else if (choice < 960) {
        this->deliver();
    } else if (choice < 980) {
        this->proposeAtLeader();
    } else if (choice < 988) {
        this->takeSnapshot(this->pick(this->nodes.size()));
    } else if (choice < 990) {
        if (const auto leads = this->leader())
            this->transfer(*leads);
    } else if (choice < 994) {
        const std::size_t index = this->pick(this->nodes.size());
        if (this->nodes[index].hasStarted)
            this->restart(index);
    } else if (choice < 997) {
        this->foundingFault();
    }
    this->check();
}

void RaftSimulation::foundingFault()
{
    const std::size_t index = this->pick(this->nodes.size());
    Node &node = this->nodes[index];
    switch (this->pick(10)) {
    case 0:
        this->crash(index);
        break;
    case 1: // several, at any step of their writes
        for (Node &other : this->nodes) {
            if (this->pick(2) == 0)
                other.folder->stepsLeft = static_cast<std::int64_t>(1 + this->pick(12));
        }
        break;
    case 2:
        if (node.folder->stepsLeft < 0)
            node.folder->stepsLeft = static_cast<std::int64_t>(1 + this->pick(12));
        break;
    case 3:
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
            this->crash(i);
        break;
    case 4:
        if (this->isolated.size() < 2)
            this->isolated.insert(index);
        break;
    case 5:
        this->isolated.clear();
        this->cutLinks.clear();
        break;
    case 6:
        node.frozenUntil = this->now + Milliseconds(this->pick(4000));
        break;
    case 7:
        this->cutLink(index, this->pick(this->nodes.size()));
        break;
    case 8:
        if (node.hasStarted && this->lostDisks < this->tolerated && this->pick(4) == 0)
            this->eraseDisk(index);
        break;
    default:
        if (this->pick(8) == 0)
            this->losePowerAndDisks();
    }
}

void RaftSimulation::losePowerAndDisks()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
        this->crash(i);
    while (this->lostDisks < this->tolerated) {
        Node &node = this->nodes[this->pick(this->nodes.size())];
        node.hasStarted = true;
        *node.folder = FakeFolder();
        ++this->lostDisks;
    }
}

void RaftSimulation::endFaults()
{
    this->faultRates = {0, 0, 0};
    this->isolated.clear();
    this->cutLinks.clear();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        this->nodes[i].frozenUntil = this->now;
        this->nodes[i].folder->stepsLeft = -1;
        this->nodes[i].folder->isFull = false;
        this->restart(i);
    }
}

bool RaftSimulation::completes(Milliseconds limit)
{
    const FaultRates rates = this->faultRates;
    this->endFaults();
    const Instant end = this->now + limit;
    bool isComplete = false;
    while (this->now < end && this->violation.empty() && !isComplete) {
        this->run(Milliseconds(100));
        const auto leads = this->leader();
        if (!leads)
            continue;
        const MemberList &list = this->core(*leads).committedMembers();
        isComplete = list.voters() == 2 * this->tolerated + 1
            && list.members.size() == list.voters()
            && std::all_of(list.members.begin(), list.members.end(), [&](const MemberRecord &m) {
                         return this->nodes[std::stoul(m.address)].identity == m.replica;
                     });
    }
    this->faultRates = rates;
    return isComplete;
}

/// By the list of the replica that any leader would have to be as up to date as.
bool RaftSimulation::hasLostMajority() const
{
    const RaftCore *best = nullptr;
    const auto last = [](const RaftCore &core) {
        return std::make_pair(core.entries().lastTerm(), core.entries().lastIndex());
    };
    for (const Node &node : this->nodes) {
        const bool counts = node.core && node.core->isFormed() && !node.core->holdsNothing();
        if (counts && (best == nullptr || last(*node.core) > last(*best)))
            best = node.core.get();
    }
    if (best == nullptr)
        return false;
    const MemberList &list = best->members();
    const auto lost =
        std::count_if(list.members.begin(), list.members.end(), [&](const MemberRecord &m) {
            return m.voter && this->nodes[std::stoul(m.address)].identity != m.replica;
        });
    return list.voters() - static_cast<std::size_t>(lost) < list.quorum()
        && list.voters() < 2 * this->tolerated + 1;
}

/// Fills a random disk or frees its space. Any number of disks may be full at the same time.
void RaftSimulation::toggleFullDisk()
{
    if (this->faultRates.fullDisk == 0
        || static_cast<int>(this->diskRandom() % 1000) >= this->faultRates.fullDisk)
        return;
    Node &node = this->nodes[this->diskRandom() % this->nodes.size()];
    node.folder->isFull = !node.folder->isFull;
}

void RaftSimulation::run(Milliseconds duration)
{
    const Instant end = this->now + duration;
    while (this->now < end && this->violation.empty()) {
        this->passTime(Microseconds(tickTime) / 4);
        // Replies to the messages delivered here are delivered in a later round.
        for (std::size_t left = this->network.size(); left > 0 && !this->network.empty(); --left)
            this->deliver();
        this->check();
    }
}

bool RaftSimulation::recovers(Milliseconds limit)
{
    this->endFaults();
    const Instant end = this->now + limit;
    while (this->now < end && this->violation.empty()) {
        this->run(Milliseconds(500));
        const std::size_t before = this->commits();
        if (!this->proposeAtLeader())
            continue;
        this->run(Milliseconds(500));
        if (this->commits() > before)
            return true;
    }
    return false;
}

void RaftSimulation::check()
{
    for (const Node &node : this->nodes) {
        if (!node.core)
            continue;
        if (node.core->role() == ReplicaRole::Leader) {
            this->checkLeader(node);
            this->checkLease(node);
        }
    }
}

void RaftSimulation::checkLeader(const Node &node)
{
    const RaftCore &core = *node.core;
    const auto [known, isNew] =
        this->leaderOfTerm.emplace(std::make_pair(core.formation(), core.term()), core.self());
    if (known->second != core.self())
        this->fail("two replicas are leaders in term " + std::to_string(core.term()));
    if (isNew) {
        for (const auto &[index, entry] : this->committed) {
            const auto term = core.entries().termAt(index);
            if (index > core.entries().baseIndex() && term != entry.first)
                this->fail("a leader lacks the committed entry at index " + std::to_string(index));
        }
    }
    for (const auto &[replica, peer] : core.followers()) {
        if (peer.inFlightBytes > 2000 + 2 * 400 + 1000)
            this->fail("the bytes in flight to a follower exceed the limit");
    }
}

/// Reads under the lease are current if no other leader has committed an entry in a later term.
void RaftSimulation::checkLease(const Node &node)
{
    const bool holdsLease = this->clockOf(node) < node.core->leaseUntil();
    if (holdsLease && this->highestCommittedTerm > node.core->term())
        this->fail("a leader holds a lease although another leader has committed an entry");
}

std::string RaftSimulation::describe() const
{
    std::ostringstream text;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        const Node &node = this->nodes[i];
        text << "replica " << i << " " << std::hex << (idValue(node.identity) >> 48U) << std::dec;
        if (node.core) {
            const RaftCore &core = *node.core;
            text << " " << enumName(replicaRoleNames, core.role()) << " term " << core.term()
                 << " commit " << core.committed() << " last " << core.entries().lastIndex()
                 << " base " << core.entries().baseIndex() << " members";
            for (const MemberRecord &member : core.members().members) {
                text << " " << member.instance << (member.voter ? "v" : "l") << std::hex
                     << (idValue(member.replica) >> 48U) << std::dec;
            }
            for (const auto &[replica, peer] : core.followers()) {
                text << "\n    follower " << std::hex << (idValue(replica) >> 48U) << std::dec
                     << " state " << static_cast<int>(peer.state) << " match " << peer.match
                     << " next " << peer.next << " awaiting " << peer.awaitingReply;
            }
        }
        text << "\n";
    }
    return text.str();
}

void RaftSimulation::fail(const std::string &what)
{
    if (this->violation.empty())
        this->violation = what;
}

} // namespace guavavalve
