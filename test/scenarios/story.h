#pragma once

#include "scenarios/cell.h"
#include "scenarios/submission.h"

#include <list>
#include <string>
#include <vector>

namespace scenarios {

/// Interprets a story, which is a scenario script, line by line. stories/README.md describes the
/// language.
class Story
{
public:
    explicit Story(Cell &cell);
    ~Story();

    /// Executes one line. Throws std::runtime_error with the observed result if the line fails.
    void runLine(const std::string &line);

private:
    using Words = std::vector<std::string>;

    void startProcesses(const Words &words);
    void submit(const Words &words, const std::string &payload, bool waits);
    int nextRunningEntry();
    void cancel(const std::string &pattern);
    void actOnProcess(const std::string &verb, const Words &words);
    void actOnConnections(const std::string &verb, const Words &words);
    void control(int target, const std::string &json);
    void waitFor(const Words &words);
    void expect(const Words &words);
    void expectStarts(const std::string &pattern, const std::string &expected);
    void expectConsistentReply(const Submission &submission) const;
    std::vector<const Submission *> matching(const std::string &pattern) const;
    std::size_t startCount(const std::string &name) const;
    std::string describe(const Submission &submission) const;
    bool isFinished(const Submission &submission);

    Cell &cell;
    std::list<Submission> submissions;
    int nextEntry = 0;
};

} // namespace scenarios
