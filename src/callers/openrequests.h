#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_map>

namespace guavavalve {

/// How many requests of each key are open at this entry: one key's flood must not take the room
/// of the others.
class OpenRequests
{
public:
    explicit OpenRequests(std::size_t mostPerKey)
        : mostPerKey(mostPerKey)
    {}

    /// False if the key has as many open as it may.
    bool open(const std::string &keyId)
    {
        const std::lock_guard lock(this->mutex);
        std::size_t &count = this->countOfKey[keyId];
        if (count >= this->mostPerKey)
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
    std::size_t mostPerKey;
    std::mutex mutex;
    std::unordered_map<std::string, std::size_t> countOfKey;
};

} // namespace guavavalve
