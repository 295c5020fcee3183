#pragma once

#include "fakes/httpcaller.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace scenarios {

/// One caller's request, sent on a thread of its own, and its outcome.
class Submission
{
public:
    /// \a waits: the reply is the job's answer; else the job is only accepted.
    Submission(std::string name, std::string payload, const std::string &url,
               std::map<std::string, std::string> headers, bool waits);
    ~Submission();

    const std::string &name() const { return this->ownName; }
    const std::string &payload() const { return this->ownPayload; }
    bool isAnswered() const { return this->answered; }
    /// Status 0: the connection broke before an answer.
    fakes::HttpAnswer answer() const;
    std::string job() const; ///< its number, once it is known
    /// The field \a name of the answer's JSON body, or an empty string.
    std::string bodyField(const std::string &name) const;
    bool hasWholeAnswer() const;

private:
    std::string ownName;
    std::string ownPayload;
    bool waits;
    mutable std::mutex mutex;
    fakes::HttpAnswer received;
    std::atomic<bool> answered{false};
    std::thread thread;
};

} // namespace scenarios
