#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace scenarios {

/// A process that the runner started, and that it ends with itself.
class ChildProcess
{
public:
    /// Starts \a arguments; its output goes to the end of the file \a logPath.
    ChildProcess(std::vector<std::string> arguments, const std::string &logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void kill(); ///< SIGKILL, and waits
    void terminate(); ///< SIGTERM, and waits until it has ended by itself
    void freeze(); ///< SIGSTOP
    void thaw(); ///< SIGCONT
    bool isRunning(); ///< and not frozen

private:
    void wait();

    pid_t pid = 0;
    bool frozen = false;
};

/// Runs \a command in a shell to its end and returns what it printed; \a status is its own.
std::string runCommand(const std::string &command, int &status);

} // namespace scenarios
