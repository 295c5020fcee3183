#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace guavavalve {

/// Limits the requests that each key has open at this entry, so that one key cannot use up the
/// capacity of the others.
class OpenRequests
{
public:
    explicit OpenRequests(std::size_t maxPerKey)
        : maxPerKey(maxPerKey)
    {}

    /// Counts one more open request; false if the key has reached its limit.
    bool open(const std::string &keyId)
    {
        const std::lock_guard lock(this->mutex);
        std::size_t &count = this->countOfKey[keyId];
        if (count >= this->maxPerKey)
            return false;
        ++count;
        return true;
    }

    void close(const std::string &keyId)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->countOfKey.find(keyId);
        if (--found->second == 0)
            this->countOfKey.erase(found);
    }

private:
    std::size_t maxPerKey;
    std::mutex mutex;
    std::unordered_map<std::string, std::size_t> countOfKey;
};

} // namespace guavavalve
