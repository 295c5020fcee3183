#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace guavavalve::internal {

/// Distribution of a service's placed tasks: their number in each failure domain and rack.
class Spread
{
public:
    void add(std::uint16_t domain, std::uint16_t rack)
    {
        ++entry(this->domains, domain);
        ++entry(this->racks, rack);
    }

    void remove(std::uint16_t domain, std::uint16_t rack)
    {
        --entry(this->domains, domain);
        --entry(this->racks, rack);
    }

    bool empty() const
    {
        return std::all_of(this->domains.begin(), this->domains.end(),
                           [](const auto &item) { return item.second == 0; });
    }

    std::uint32_t inDomain(std::uint16_t domain) const { return count(this->domains, domain); }
    std::uint32_t inRack(std::uint16_t rack) const { return count(this->racks, rack); }

private:
    using Counts = std::vector<std::pair<std::uint16_t, std::uint32_t>>;

    static std::uint32_t &entry(Counts &counts, std::uint16_t key)
    {
        const auto found = std::find_if(counts.begin(), counts.end(),
                                        [key](const auto &item) { return item.first == key; });
        if (found != counts.end())
            return found->second;
        counts.emplace_back(key, 0U);
        return counts.back().second;
    }

    static std::uint32_t count(const Counts &counts, std::uint16_t key)
    {
        for (const auto &item : counts) {
            if (item.first == key)
                return item.second;
        }
        return 0;
    }

    Counts domains;
    Counts racks;
};

} // namespace guavavalve::internal
