#pragma once

#include "scenarios/childprocess.h"
#include "scenarios/forwarder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace scenarios {

/// Polls \a condition until it holds.
/// Throws std::runtime_error, naming \a what, if it does not hold within 60 s.
void waitUntil(const std::string &what, const std::function<bool()> &condition);

/// A small cell of separate processes: entry instances with replicas, and stand-in targets behind
/// forwarders.
class Cell
{
public:
    /// \a build: the folder with the programs; \a folder: an empty folder for settings, data and
    /// logs.
    Cell(std::string build, std::string folder);
    ~Cell();

    /// Starts \a count entries, each with a replica, forms the replica group, configures one team
    /// and grants a key for it.
    void startEntries(int count);
    /// Starts \a count targets with the additional \a flags and waits until all are ready.
    void startTargets(int count, const std::vector<std::string> &flags);

    ChildProcess &entry(int number); ///< from 1
    ChildProcess &target(int number); ///< from 1
    Forwarder &forwarder(int number); ///< in front of target \a number
    void restartEntry(int number);
    void restartTarget(int number);
    /// The number of the entry whose replica leads; waits until one does.
    int controller();
    std::string entryUrl(int number) const;
    /// True if entry \a number answers \a path with 200.
    bool isUp(int number, const std::string &path) const;
    std::string targetUrl(int number) const; ///< bypasses the forwarder
    int entryCount() const { return static_cast<int>(this->entries.size()); }
    int targetCount() const { return static_cast<int>(this->targets.size()); }
    const std::string &callerKey() const { return this->key; }
    /// The lines of all targets' start logs.
    std::vector<std::string> startLogLines() const;
    /// Runs the command-line tool with the operator's key; throws std::runtime_error if it fails.
    std::string runAsOperator(const std::string &arguments);

private:
    struct Entry
    {
        std::uint16_t callersPort = 0;
        std::uint16_t messengerPort = 0;
        std::unique_ptr<ChildProcess> process;
    };
    struct Target
    {
        std::uint16_t port = 0;
        std::vector<std::string> arguments;
        std::unique_ptr<Forwarder> forwarder;
        std::unique_ptr<ChildProcess> process;
    };

    void writeSettings(std::size_t index) const;
    void formAndConfigure();
    std::string runTool(const std::string &arguments, const std::string &withKey, int &status);
    std::string servers() const;
    std::string logPath(const std::string &name) const;
    std::string entryName(std::size_t index) const;

    std::string build;
    std::string folder;
    std::string secret;
    std::string operatorKey;
    std::string key;
    std::vector<Entry> entries;
    std::vector<Target> targets;
};

} // namespace scenarios
