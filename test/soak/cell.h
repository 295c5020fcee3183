#pragma once

#include "core/clock.h"
#include "soak/celloptions.h"
#include "soak/loopbacknetwork.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace guavavalve::soak {

class SupervisedProcess;

/// What a cell reports. Called on any thread, without a lock held.
struct CellHooks
{
    /// A machine's undisturbed operation ends: a signal, a start, a lost disk, a removal.
    std::function<void(const Machine &)> disrupted;
    /// The machine runs again: its process was started or resumed; or it was removed for good.
    std::function<void(const Machine &)> resumed;
    std::function<void(const UnexpectedEnd &)> endedByItself;
    std::function<void(const std::string &)> log;
};

/// A cell of real guavavalve-node processes, each at a loopback address of its own.
///
/// Ended processes are started again 0.2 to 1 s after their end, as the platform does, also those
/// that ended by themselves. All methods may be called on any thread and return at once.
class Cell
{
public:
    Cell(CellOptions options, CellHooks hooks);
    ~Cell(); ///< kills all processes and waits for their ends
    Cell(const Cell &) = delete;
    Cell &operator=(const Cell &) = delete;

    /// Starts all machines within 0.3 s of each other: the first start, with empty disks.
    void startAll();

    std::vector<Machine> replicas() const; ///< those that were not removed
    std::vector<Machine> entries() const;
    pid_t processId(int machine) const; ///< 0 while the machine runs no process
    /// An address of the cell's network for a target or another service of the test.
    std::string targetIp(int number) const { return this->network.ip(150 + number); }

    void kill(int machine); ///< SIGKILL
    /// SIGTERM, and SIGKILL at \a killAt if the process has not ended by then.
    void terminate(int machine, Instant killAt);
    void freeze(int machine); ///< SIGSTOP
    void thaw(int machine);
    /// The machine's disk takes no more bytes, until freeDisk() or the end of the process.
    void fillDisk(int machine);
    void freeDisk(int machine);
    /// SIGKILL; the process starts again with an empty disk.
    void loseDisk(int machine);
    /// SIGKILL for good; a machine at a new address with an empty disk starts in its place.
    void replace(int machine);
    /// Writes the settings file with other seeds; SIGHUP tells the process if \a withSignal.
    void changeSeeds(int machine, std::vector<std::string> seedIps, bool withSignal);
    void hangUp(int machine); ///< SIGHUP

private:
    std::string ipOf(int machine) const { return this->network.ip(11 + machine); }
    const Machine &add(bool isReplica, std::vector<std::string> seeds, bool isFirstStart,
                       Instant startAt);
    std::vector<Machine> machines(bool areReplicas) const;
    /// The machine, if it was not removed and \a action returns true.
    std::optional<Machine> change(int machine,
                                  const std::function<bool(SupervisedProcess &)> &action);
    void disrupt(int machine, const std::function<bool(SupervisedProcess &)> &action);
    void supervise();
    void step(SupervisedProcess &node, std::vector<std::function<void()>> &reports);
    Instant nextStart(); ///< 0.2 to 1 s from now

    const CellOptions options;
    const CellHooks hooks;
    const LoopbackNetwork network;
    mutable std::mutex mutex;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<SupervisedProcess>> nodes; ///< by number; removed ones stay
    bool isClosing = false;
    /// Starts all processes: the kernel kills them when this thread ends.
    std::thread supervisor;
};

} // namespace guavavalve::soak
