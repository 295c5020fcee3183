#pragma once

#include "journal/fakedisk.h"
#include "journal/journal.h"
#include "replicas/groupformation.h"
#include "replicas/groupmanager.h"
#include "replicas/presencetable.h"
#include "replicas/raftcore.h"
#include "replicas/unsavedoutput.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavavalve {

/// Several RaftCores, each with a real journal on a fake disk, connected by a simulated network and
/// driven by simulated clocks. The Raft invariants are checked after every step; failure() returns
/// the first violation.
class RaftSimulation
{
public:
    struct FaultRates
    {
        int drop = 5; ///< percent of messages lost
        int duplicate = 3; ///< percent delivered twice
        int delay = 30; ///< percent delayed, so that later messages may overtake them
        int fullDisk = 0; ///< steps per thousand in which a disk becomes full or has space again
    };

    /// \a goneAfter: see RaftOptions. Instances that are no members are the spares.
    RaftSimulation(std::uint64_t seed, std::size_t instances, std::size_t voters,
                   std::size_t minCopies = 1, Milliseconds goneAfter = Milliseconds(0));
    /// Instances that start for the first time and found a group by themselves: the first
    /// 2 * \a tolerated - 1 of them are its founders, and it grows to 2 * \a tolerated + 1 voters.
    static std::unique_ptr<RaftSimulation> ofFirstStart(std::uint64_t seed, std::size_t instances,
                                                        std::size_t tolerated);
    ~RaftSimulation();

    /// Performs one random event: time passes, a message is delivered, a command is proposed, a
    /// fault is injected or the membership changes.
    void step();
    /// Like step(), for a group that founds itself; faults are more frequent, and at most as many
    /// disks are lost as the group is to tolerate.
    void stepOfFounding();
    /// As many disks as may still be lost are lost while all others lose power.
    void losePowerAndDisks();
    /// Ends all faults and runs until all intended voters have joined. False if that takes longer
    /// than \a limit.
    bool completes(Milliseconds limit);
    /// Too many voters of a small group have lost their disks: it can neither go on nor be founded
    /// again.
    bool hasLostMajority() const;
    /// Ends all faults and runs until a command has been committed. False if that takes longer than
    /// \a limit.
    bool recovers(Milliseconds limit);
    /// Lets time pass without random faults.
    void run(Milliseconds duration);

    // Scripted events.
    void cutOff(std::size_t node) { this->isolated.insert(node); }
    void reconnect(std::size_t node) { this->isolated.erase(node); }
    /// Cuts the link between two nodes in both directions.
    void cutLink(std::size_t a, std::size_t b) { this->cutLinks.insert(std::minmax(a, b)); }
    /// Ends the process, at random together with its power.
    void crash(std::size_t node);
    void restart(std::size_t node);
    void eraseDisk(std::size_t node);
    void setFull(std::size_t node, bool isFull) { this->nodes[node].folder->isFull = isFull; }
    /// The replica is killed in its next write, before the sync.
    void crashInNextWrite(std::size_t node) { this->nodes[node].folder->stepsLeft = 1; }
    bool proposeAtLeader();
    std::optional<std::size_t> leader() const;
    RaftCore &core(std::size_t node) { return *this->nodes[node].core; }
    const RaftCore &core(std::size_t node) const { return *this->nodes[node].core; }
    bool isAlive(std::size_t node) const { return this->nodes[node].core != nullptr; }
    bool addMember(std::size_t node);
    void takeSnapshot(std::size_t node);
    void transfer(std::size_t node);
    void setFaultRates(FaultRates value) { this->faultRates = value; }
    std::uint64_t state(std::size_t node) const { return this->nodes[node].state; }
    LogIndex applied(std::size_t node) const { return this->nodes[node].applied; }

    static constexpr const char *none = "none";
    bool hasFailed() const { return !this->violation.empty(); }
    std::string failure() const { return this->violation.empty() ? none : this->violation; }
    /// One line per replica, for the output of a failed test.
    std::string describe() const;
    std::size_t commits() const { return this->committed.size(); }
    std::size_t leaders() const { return this->leaderOfTerm.size(); }
    std::size_t crashes = 0;
    std::size_t refusals = 0;
    std::size_t lostDisks = 0;
    std::size_t snapshotsInstalled = 0;
    std::size_t memberChanges = 0;
    std::size_t formations = 0; ///< by a founder that asked the others, since none held anything

private:
    struct Node
    {
        std::shared_ptr<FakeFolder> folder;
        std::unique_ptr<Journal> journal;
        std::unique_ptr<RaftCore> core;
        std::unique_ptr<GroupFormation> formation;
        std::unique_ptr<ReplicatedLog> log;
        std::unique_ptr<PresenceTable> presence;
        std::shared_ptr<GroupManager> manager;
        bool hasStarted = true; ///< its first start has been attempted
        Instant startsAt{}; ///< when that is due
        Instant managedAt{}; ///< when it last reported its presence and ran its GroupManager
        UnsavedOutput unsaved;
        ReplicaId identity = ReplicaId::None;
        LogIndex applied = 0;
        std::uint64_t state = 0; ///< hash of all applied entries
        Instant frozenUntil{};
        double clockRate = 1.0;
    };
    struct InFlightMessage
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t token = 0; ///< identifies the request; the reply carries the same token
        bool isReply = false;
        RaftMessage message;
    };
    class SimulatedLog;
    using Identified = std::function<void(Result<IdentityReply>)>;
    struct Identification
    {
        std::size_t caller = 0;
        Instant deadline{};
        Identified done;
    };
    struct Call
    {
        std::size_t caller = 0;
        ReplicaId asked = ReplicaId::None;
    };

    RaftSimulation(std::uint64_t seed, std::size_t instances);

    Instant clockOf(const Node &node) const;
    void boot(Node &node);
    void startFormation(std::size_t index);
    void identify(std::size_t index, const std::string &address, const IdentifyRequest &request,
                  Identified done);
    bool deliverIdentification(InFlightMessage &inFlight);
    void expireIdentifications();
    void manage(std::size_t index);
    void passTime(Microseconds duration);
    void foundingFault();
    bool isCut(std::size_t a, std::size_t b) const;
    void endFaults();
    void tick(Node &node);
    void admitSpare();
    void deliver();
    void processOutput(std::size_t index);
    bool store(std::size_t index);
    UnsavedOutput::Hooks hooksOf(std::size_t index);
    void toggleFullDisk();
    void send(std::size_t index, std::vector<OutgoingMessage> &messages);
    void apply(Node &node);
    void restoreState(Node &node, const std::string &state);
    void check();
    void checkLeader(const Node &node);
    void checkLease(const Node &node);
    void fail(const std::string &what);
    bool canLoseDisk() const;
    void randomFault();
    void powerLoss();
    void randomMemberChange();
    std::uint64_t pick(std::uint64_t bound) { return this->random() % bound; }

    std::mt19937_64 random;
    /// Separate, so that full disks do not change the other random events of a seed.
    std::mt19937_64 diskRandom;
    FaultRates faultRates;
    std::size_t minCopies = 1;
    Milliseconds goneAfter{0};
    std::size_t tolerated = 0; ///< lost disks, of a group that founds itself; zero: it is given
    std::vector<ReplicaMember> founders;
    std::map<std::uint64_t, Identification> identifications; ///< by the token of the request
    Instant now{Microseconds(1000000)};
    std::deque<Node> nodes;
    std::deque<InFlightMessage> network;
    std::map<std::uint64_t, Call> calls;
    std::set<std::size_t> isolated;
    std::set<std::pair<std::size_t, std::size_t>> cutLinks; ///< the lower node index first
    std::uint64_t lastToken = 0;
    std::uint64_t commands = 0;
    std::set<ReplicaId> lostIdentities;

    /// By formation and term. A founding that committed nothing may be followed by another
    /// formation, whose terms begin anew; two that committed differ in their first entry.
    std::map<std::pair<std::uint64_t, std::uint64_t>, ReplicaId> leaderOfTerm;
    std::map<LogIndex, std::pair<std::uint64_t, std::string>> committed; ///< term and payload
    std::vector<std::uint64_t> stateAt{0}; ///< the state after each committed entry
    std::uint64_t highestCommittedTerm = 0;
    std::string violation;
};

} // namespace guavavalve
