#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavavalve {

/// Maps names to small consecutive numbers, as the scheduler expects, in order of first use.
class NameInterner
{
public:
    std::uint16_t number(const std::string &name)
    {
        const auto next = static_cast<std::uint16_t>(this->numbers.size());
        return this->numbers.try_emplace(name, next).first->second;
    }

private:
    std::map<std::string, std::uint16_t> numbers;
};

} // namespace guavavalve
