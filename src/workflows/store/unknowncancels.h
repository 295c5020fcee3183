#pragma once

#include "workflows/model/ids.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace guavavalve::workflows {

/// The cancels of workflows that were not stored, by client account, for as long as a request to
/// accept such a workflow may be under way. Part of the replicated state.
class UnknownCancels
{
public:
    /// Longer than a machine stands still, or a connection holds back what was sent on it.
    static constexpr std::int64_t retentionMs = 60000;

    using Key = std::pair<std::string, WorkflowId>; ///< client account and identity

    void add(const Key &key, const std::string &queue, std::int64_t atMs)
    {
        this->dropBefore(atMs - retentionMs);
        this->remove(key);
        this->entries[key] = {queue, atMs};
        this->byTime.emplace(atMs, key);
        ++this->counts[key.first];
    }

    void remove(const Key &key)
    {
        const auto found = this->entries.find(key);
        if (found == this->entries.end())
            return;
        const auto [first, last] = this->byTime.equal_range(found->second.second);
        for (auto entry = first; entry != last; ++entry) {
            if (entry->second != key)
                continue;
            this->byTime.erase(entry);
            break;
        }
        this->entries.erase(found);
        const auto count = this->counts.find(key.first);
        if (--count->second == 0)
            this->counts.erase(count);
    }

    bool has(const Key &key, const std::string &queue) const
    {
        const auto found = this->entries.find(key);
        return found != this->entries.end() && found->second.first == queue;
    }
    std::size_t size() const { return this->entries.size(); }
    std::size_t countOf(const std::string &account) const
    {
        const auto found = this->counts.find(account);
        return found == this->counts.end() ? 0 : found->second;
    }
    /// Those that will be left once one is added at \a atMs: of all accounts, and of \a account.
    std::pair<std::size_t, std::size_t> leftAt(std::int64_t atMs, const std::string &account) const
    {
        std::pair left(this->size(), this->countOf(account));
        const auto end = this->byTime.lower_bound(atMs - retentionMs);
        for (auto expired = this->byTime.begin(); expired != end; ++expired) {
            --left.first;
            left.second -= expired->second.first == account ? 1 : 0;
        }
        return left;
    }

    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(this->entries);
    }
    template<typename Archive>
    void load(Archive &archive)
    {
        archive(this->entries);
        this->byTime.clear();
        this->counts.clear();
        for (const auto &[key, entry] : this->entries) {
            this->byTime.emplace(entry.second, key);
            ++this->counts[key.first];
        }
    }

private:
    void dropBefore(std::int64_t atMs)
    {
        while (!this->byTime.empty() && this->byTime.begin()->first < atMs) {
            const Key oldest = this->byTime.begin()->second;
            this->remove(oldest);
        }
    }

    std::map<Key, std::pair<std::string, std::int64_t>> entries; ///< queue and calendar time
    std::multimap<std::int64_t, Key> byTime; ///< derived, as the next one
    std::map<std::string, std::size_t> counts; ///< by client account
};

} // namespace guavavalve::workflows
