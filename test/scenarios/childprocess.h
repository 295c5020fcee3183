#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace scenarios {

/// A child process of the scenario runner; killed on destruction and when the runner ends.
class ChildProcess
{
public:
    /// Starts the program \a arguments[0]; its output is appended to the file \a logPath.
    ChildProcess(std::vector<std::string> arguments, const std::string &logPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void kill(); ///< sends SIGKILL and waits for the end
    void terminate(); ///< sends SIGTERM and waits until the process ends by itself
    void freeze(); ///< sends SIGSTOP
    void thaw(); ///< sends SIGCONT
    bool isRunning(); ///< false while frozen

private:
    void wait();

    pid_t pid = 0;
    bool frozen = false;
};

/// Runs \a command in a shell and returns its output without trailing newlines. \a status receives
/// the wait status as returned by pclose(); 0 is success.
std::string runCommand(const std::string &command, int &status);

} // namespace scenarios
