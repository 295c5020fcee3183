#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// Puts a configuration document into force if its version is higher than all versions so far;
/// otherwise nothing changes. Operators choose the version numbers.
struct StoreDocument
{
    std::int64_t version = 0;
    std::string text;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->version, this->text);
    }
};

} // namespace guavavalve::workflows
