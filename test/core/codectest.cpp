#include <catch2/catch.hpp>

#include "core/codec.h"
#include "core/error.h"
#include "core/workclass.h"

#include <cereal/types/variant.hpp>

#include <random>
#include <variant>

using namespace guavavalve;

namespace {

struct Sample
{
    std::string name;
    std::vector<std::string> parts;
    std::variant<int, std::string> choice;
    WorkClass workClass = WorkClass::Prompt;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->name, this->parts, this->choice, this->workClass);
    }
};

Sample sample()
{
    return {"draw schedule", {"one", "two"}, std::string("both"), WorkClass::Gang};
}

} // namespace

TEST_CASE("a value survives encoding and decoding", "[codec]")
{
    const auto read = decode<Sample>(encode(sample()));
    REQUIRE(read.has_value());
    CHECK(read.value().name == "draw schedule");
    CHECK(read.value().parts.size() == 2);
    CHECK(std::get<std::string>(read.value().choice) == "both");
    CHECK(read.value().workClass == WorkClass::Gang);
}

// A damaged message declares a container of 2^60 elements. Without the check on lengths the process
// would try to allocate that much memory and be killed; the caller sees a dropped connection.
TEST_CASE("a message that declares an impossible length is refused", "[codec]")
{
    const std::string claim = std::string(8, '\x80') + '\x10'; // seven bits per byte: 2^60
    const auto text = decode<std::string>(claim + "abc");
    REQUIRE(text.has_error());
    CHECK(text.error().code == ErrorCode::Corrupt);
    CHECK(decode<std::vector<Sample>>(claim + "abc").has_error());
    CHECK(decode<std::string>(std::string(11, '\x80') + "abc").has_error());
}

TEST_CASE("truncated messages are refused and damaged ones do not crash the decoder", "[codec]")
{
    const std::string whole = encode(sample());
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK(decode<Sample>(std::string_view(whole).substr(0, length)).has_error());

    const unsigned seed = 20261202;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    int readable = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = whole;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        const auto read = decode<Sample>(damaged);
        readable += read.has_value() ? 1 : 0;
    }
    CHECK(readable < 20000);
}
