#pragma once

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace guavavalve::workflows {

/// Puts a configuration document in force if its version is the highest so far; else nothing
/// changes. The versions are the operators' own.
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
