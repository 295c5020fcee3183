#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace scenarios {

/// A child process of the scenario runner; killed on destruction and when the runner ends.
class ChildProcess
{
public:
    /// Starts the program \a arguments[0]; its output is appended to the file \a logPath.
    /// \a environment holds "NAME=value" texts; without any, the child inherits the runner's.
    /// The child is killed when the thread that calls this ends.
    ChildProcess(std::vector<std::string> arguments, const std::string &logPath,
                 std::vector<std::string> environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void kill(); ///< sends SIGKILL and waits for the end
    void terminate(); ///< sends SIGTERM and waits until the process ends by itself
    void freeze(); ///< sends SIGSTOP
    void thaw(); ///< sends SIGCONT
    bool isRunning(); ///< false while frozen
    void signal(int number); ///< returns at once; does nothing after the end
    /// No file of the process grows beyond \a bytes any more.
    void limitFileSize(std::uint64_t bytes);
    /// The wait status of a process that has ended; does not wait.
    std::optional<int> endStatus();
    pid_t id() const { return this->pid; } ///< 0 once its end has been noticed

private:
    void wait();

    pid_t pid = 0;
    int status = 0; ///< as returned by waitpid(), once pid is 0
    bool frozen = false;
};

/// Runs \a command in a shell and returns its output without trailing newlines. \a status receives
/// the wait status as returned by pclose(); 0 is success.
std::string runCommand(const std::string &command, int &status);

} // namespace scenarios
