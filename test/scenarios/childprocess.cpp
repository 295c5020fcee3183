#include "scenarios/childprocess.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace scenarios {

ChildProcess::ChildProcess(std::vector<std::string> arguments, const std::string &logPath)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (std::string &argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    this->pid = fork();
    if (this->pid < 0)
        throw std::runtime_error("cannot start " + arguments[0]);
    if (this->pid == 0) {
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        // The child is killed when the runner ends, also if a test timeout kills the runner.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execv(argv[0], argv.data());
        _exit(127);
    }
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

void ChildProcess::kill()
{
    if (this->pid == 0)
        return;
    ::kill(this->pid, SIGKILL);
    this->wait();
}

void ChildProcess::terminate()
{
    if (this->pid == 0)
        return;
    ::kill(this->pid, SIGTERM);
    this->wait();
}

void ChildProcess::freeze()
{
    if (this->pid != 0)
        ::kill(this->pid, SIGSTOP);
    this->frozen = true;
}

void ChildProcess::thaw()
{
    if (this->pid != 0)
        ::kill(this->pid, SIGCONT);
    this->frozen = false;
}

bool ChildProcess::isRunning()
{
    if (this->pid != 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid)
        this->pid = 0;
    return this->pid != 0 && !this->frozen;
}

void ChildProcess::wait()
{
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
}

std::string runCommand(const std::string &command, int &status)
{
    FILE *pipe = popen((command + " 2>&1").c_str(), "r");
    if (pipe == nullptr)
        throw std::runtime_error("cannot run " + command);
    std::string printed;
    std::array<char, 4096> buffer{};
    std::size_t got = 0;
    while ((got = fread(buffer.data(), 1, buffer.size(), pipe)) > 0)
        printed.append(buffer.data(), got);
    status = pclose(pipe);
    while (!printed.empty() && printed.back() == '\n')
        printed.pop_back();
    return printed;
}

} // namespace scenarios
