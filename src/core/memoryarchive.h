#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace guavavalve {

static_assert(
    __BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
    "the wire format is little-endian; add byte swapping to the archives for this platform");

/// A cereal archive that appends little-endian bytes directly to a string, without a stream.
class MemoryOutputArchive
    : public cereal::OutputArchive<MemoryOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit MemoryOutputArchive(std::string &bytes)
        : OutputArchive(this)
        , bytes(bytes)
    {}

    void saveBinary(const void *data, std::size_t size)
    {
        this->bytes.append(static_cast<const char *>(data), size);
    }

private:
    std::string &bytes;
};

/// A cereal archive that reads from memory and validates every length before using it.
///
/// Guards against a corrupt or malicious message that declares a huge container, for which the
/// process would run out of memory and be killed. Every element takes at least one byte, so a
/// declared count above the number of remaining bytes is rejected before anything is allocated.
class MemoryInputArchive
    : public cereal::InputArchive<MemoryInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit MemoryInputArchive(std::string_view bytes)
        : InputArchive(this)
        , rest(bytes)
    {}

    void loadBinary(void *data, std::size_t size)
    {
        if (size > this->rest.size())
            throw cereal::Exception("the message is truncated");
        if (size == 0)
            return; // the data pointer of an empty vector may be null
        std::memcpy(data, this->rest.data(), size);
        this->rest.remove_prefix(size);
    }

    std::size_t bytesLeft() const { return this->rest.size(); }

private:
    std::string_view rest;
};

template<typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive,
                                                                    const T &value)
{
    archive.saveBinary(&value, sizeof(value));
}

template<typename T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive,
                                                                    T &value)
{
    // Copying a byte other than 0 or 1 into a bool is undefined behaviour.
    if constexpr (std::is_same_v<T, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template<typename T>
void CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryOutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(MemoryInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

/// Sizes are encoded in seven bits per byte, least significant first, so that most take one byte
/// instead of eight.
template<typename T>
void CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    auto rest = static_cast<std::uint64_t>(tag.size);
    while (rest >= 0x80) {
        archive(static_cast<std::uint8_t>(0x80 | (rest & 0x7f)));
        rest >>= 7;
    }
    archive(static_cast<std::uint8_t>(rest));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, cereal::SizeTag<T> &tag)
{
    constexpr unsigned lastShift = 63;
    std::uint64_t size = 0;
    std::uint8_t byte = 0x80;
    for (unsigned shift = 0; (byte & 0x80) != 0; shift += 7) {
        if (shift > lastShift)
            throw cereal::Exception("a size is encoded in too many bytes");
        archive(byte);
        size |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
    }
    if (size > archive.bytesLeft())
        throw cereal::Exception(
            "a container declares more elements than there are bytes left in the message");
    tag.size = static_cast<std::remove_reference_t<T>>(size);
}

/// Loads element by element, so that memory use grows with the bytes that were received: elements
/// are larger in memory than on the wire, and a count that passes the check above could still
/// require gigabytes.
template<typename T, typename Allocator>
std::enable_if_t<!std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, std::vector<T, Allocator> &elements)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    elements.clear();
    for (cereal::size_type i = 0; i < size; ++i) {
        elements.emplace_back();
        archive(elements.back());
    }
}

} // namespace guavavalve

CEREAL_SETUP_ARCHIVE_TRAITS(guavavalve::MemoryInputArchive, guavavalve::MemoryOutputArchive)
