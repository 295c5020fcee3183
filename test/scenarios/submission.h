#pragma once

#include "fakes/httpcaller.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace scenarios {

/// One request of a caller, sent on a thread of its own, and its outcome.
class Submission
{
public:
    /// \a waits: the reply carries the job's answer; otherwise it only confirms acceptance.
    Submission(std::string name, std::string payload, const std::string &url,
               std::map<std::string, std::string> headers, bool waits);
    ~Submission();

    const std::string &name() const { return this->ownName; }
    const std::string &payload() const { return this->ownPayload; }
    bool isAnswered() const { return this->answered; }
    /// Status 0 means that the connection broke before a reply arrived, or has not arrived yet.
    fakes::HttpAnswer answer() const;
    std::string job() const; ///< the job's identifier, or an empty string while it is not known
    /// The field \a name of the JSON body of the reply, or an empty string.
    std::string bodyField(const std::string &name) const;
    /// True if the reply is the complete answer to this submission's own payload.
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
