#pragma once

#include "core/clock.h"
#include "soak/celloptions.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace scenarios {
class ChildProcess;
}

namespace guavavalve::soak {

/// The process of one machine, its settings file and its disk. Not thread-safe.
class SupervisedProcess
{
public:
    enum class Change : std::uint8_t { None, Started, Ended, EndedByItself };

    /// The first start is due at \a startAt, with an empty disk.
    SupervisedProcess(Machine machine, const CellOptions &options, std::vector<std::string> seeds,
                      bool isFirstStart, Instant startAt);
    ~SupervisedProcess();

    const Machine &machine() const { return this->place; }
    bool isRemoved() const { return this->removed; }

    /// Lets time pass: starts a process that is due, and notices its end. After an end, the next
    /// start is due at \a nextStart().Processes die with the thread that calls this.
    Change step(Instant now, const std::function<Instant()> &nextStart);
    /// After Change::Ended and Change::EndedByItself.
    UnexpectedEnd end() const;
    pid_t processId() const; ///< 0 without a process

    void kill();
    void loseDisk(); ///< kill(), and an empty disk at the next start
    void remove(); ///< kill(), for good
    /// These return false without a process; thaw() also for one that is about to end.
    bool terminate(Instant killAt);
    bool freeze();
    bool thaw();
    bool limitFileSize(std::uint64_t bytes);
    void hangUp();

    /// Writes the settings file.
    void changeSeeds(std::vector<std::string> seedIps);
    /// In the settings file of the next start.
    void replaceSeed(const std::string &oldIp, const std::string &newIp);

private:
    void start();
    void writeSettings() const;

    const Machine place;
    const std::string program;
    const std::string folder;
    const std::string basePath;
    const std::string dataFolder; ///< empty for an entry
    const int memoryMb;
    const int maxFiles;
    std::vector<std::string> seeds;
    std::unique_ptr<scenarios::ChildProcess> process;
    std::optional<Instant> startAt;
    std::optional<Instant> killAt;
    int lastStatus = 0;
    bool isFirstStart;
    bool isKilled = false; ///< SIGKILL was sent
    bool isTerminated = false; ///< SIGTERM was sent
    bool losesDisk = true; ///< before the next start
    bool removed = false;
};

} // namespace guavavalve::soak
