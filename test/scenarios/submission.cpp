#include "scenarios/submission.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace scenarios {

Submission::Submission(std::string name, std::string payload, const std::string &url,
                       std::map<std::string, std::string> headers, bool waits)
    : ownName(std::move(name))
    , ownPayload(std::move(payload))
    , waits(waits)
    , thread([this, url, headers = std::move(headers)] {
        fakes::HttpAnswer got;
        try {
            got = fakes::callHttp("POST", url + (this->waits ? "?wait=true" : ""), headers,
                                  this->ownPayload);
        } catch (const std::exception &problem) {
            got.body = problem.what();
        }
        {
            const std::lock_guard lock(this->mutex);
            this->received = std::move(got);
        }
        this->answered = true;
    })
{}

Submission::~Submission()
{
    this->thread.join();
}

fakes::HttpAnswer Submission::answer() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

std::string Submission::job() const
{
    const fakes::HttpAnswer got = this->answer();
    const auto found = got.headers.find("Guavavalve-Job");
    return found == got.headers.end() ? std::string() : found->second;
}

std::string Submission::bodyField(const std::string &name) const
{
    const auto document = nlohmann::json::parse(this->answer().body, nullptr, false);
    return document.is_object() ? document.value(name, std::string()) : std::string();
}

bool Submission::hasWholeAnswer() const
{
    const fakes::HttpAnswer got = this->answer();
    return got.status == 200 && got.body == "answer to: " + this->ownPayload;
}

} // namespace scenarios
