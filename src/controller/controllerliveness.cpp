#include "controller/controllerliveness.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace guavavalve {

void ControllerLiveness::heard(const std::string &address, Instant when)
{
    Instant &last = this->heardAt[address];
    last = std::max(last, when);
}

void ControllerLiveness::answered(const std::string &address, Instant now)
{
    this->heard(address, now);
    this->confirmed = address;
    this->contact = std::max(this->contact, now);
}

void ControllerLiveness::denied(const std::string &address)
{
    if (this->confirmed == address)
        this->confirmed.clear();
}

void ControllerLiveness::keepOnly(const std::vector<std::string> &addresses)
{
    const std::set<std::string> kept(addresses.begin(), addresses.end());
    for (auto item = this->heardAt.begin(); item != this->heardAt.end();) {
        const bool isKept = item->first == this->confirmed || kept.count(item->first) != 0;
        item = isKept ? std::next(item) : this->heardAt.erase(item);
    }
}

Instant ControllerLiveness::lastHeard(const std::string &address) const
{
    const auto found = this->heardAt.find(address);
    return found == this->heardAt.end() ? Instant{} : found->second;
}

Instant ControllerLiveness::lastContact() const
{
    if (this->confirmed.empty())
        return this->contact;
    return std::max(this->contact, this->lastHeard(this->confirmed));
}

} // namespace guavavalve
