#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>

#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace guavavalve {

static_assert(__BYTE_ORDER__ == __ORDER_LITTLE_ENDIAN__,
              "the wire format is little-endian; add byte swapping to the archives to build here");

/// A cereal archive that appends little-endian bytes to a string, without a stream between.
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

/// A cereal archive that reads from memory and trusts no length in it.
///
/// Guards against a damaged or foreign message that claims a huge container, which would show as
/// the process being killed for memory: every element takes a byte at the least, so a claimed
/// count above the bytes that are left is refused before anything is allocated.
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
            throw cereal::Exception("the message ends too early");
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
    archive.loadBinary(&value, sizeof(value));
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

template<typename T>
void CEREAL_SAVE_FUNCTION_NAME(MemoryOutputArchive &archive, const cereal::SizeTag<T> &tag)
{
    archive(static_cast<cereal::size_type>(tag.size));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(MemoryInputArchive &archive, cereal::SizeTag<T> &tag)
{
    cereal::size_type size = 0;
    archive(size);
    if (size > archive.bytesLeft())
        throw cereal::Exception("a container claims more elements than the message has bytes");
    tag.size = static_cast<std::remove_reference_t<T>>(size);
}

} // namespace guavavalve

CEREAL_SETUP_ARCHIVE_TRAITS(guavavalve::MemoryInputArchive, guavavalve::MemoryOutputArchive)
