#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace Hibiscus::internal {

static_assert(std::endian::native == std::endian::little, "encoded values are little-endian");
/** \brief First byte of the format: the values that follow are little-endian. */
constexpr char littleEndianMark = 1;

/** \brief Archive of the cereal library that appends to a string. */
class BinaryWriter : public cereal::OutputArchive<BinaryWriter, cereal::AllowEmptyClassElision>
{
public:
    explicit BinaryWriter(std::string &bytes) : OutputArchive(this), bytes(bytes)
    {
        this->bytes.push_back(littleEndianMark);
    }

    void write(const void *data, std::size_t size)
    {
        this->bytes.append(static_cast<const char *>(data), size);
    }

private:
    std::string &bytes;
};

/** \brief Archive of the cereal library that reads untrusted bytes: it allocates no more than what
 * the input can fill, and throws cereal::Exception where the input is malformed.
 */
class BinaryReader : public cereal::InputArchive<BinaryReader, cereal::AllowEmptyClassElision>
{
public:
    explicit BinaryReader(std::string_view bytes) : InputArchive(this), bytes(bytes)
    {
        char mark = 0;
        this->read(&mark, sizeof(mark));
        if (mark != littleEndianMark)
            throw cereal::Exception("not little-endian");
    }

    void read(void *data, std::size_t size)
    {
        this->requireRemaining(size);
        if (size > 0)
            std::memcpy(data, this->bytes.data(), size);
        this->bytes.remove_prefix(size);
    }

    /** \brief Throws unless \a size more bytes can be read. */
    void requireRemaining(std::uint64_t size) const
    {
        if (size > this->bytes.size())
            throw cereal::Exception("the input is too short");
    }

    /** \returns whether all bytes have been read. */
    bool isAtEnd() const { return this->bytes.empty(); }

private:
    std::string_view bytes; ///< what has not been read yet
};

template<typename Value>
std::enable_if_t<std::is_arithmetic_v<Value>> CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive,
                                                                        const Value &value)
{
    archive.write(&value, sizeof(value));
}

template<typename Value>
std::enable_if_t<std::is_arithmetic_v<Value> && !std::is_same_v<Value, bool>>
CEREAL_LOAD_FUNCTION_NAME(BinaryReader &archive, Value &value)
{
    archive.read(&value, sizeof(value));
}

inline void CEREAL_LOAD_FUNCTION_NAME(BinaryReader &archive, bool &value)
{
    std::uint8_t byte = 0;
    archive.read(&byte, sizeof(byte));
    if (byte > 1)
        throw cereal::Exception("not a boolean");
    value = byte == 1;
}

template<typename Value>
void CEREAL_SAVE_FUNCTION_NAME(BinaryWriter &archive, const cereal::BinaryData<Value> &data)
{
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template<typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader &archive, cereal::BinaryData<Value> &data)
{
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template<typename Archive, typename Value>
std::enable_if_t<std::is_same_v<Archive, BinaryWriter> || std::is_same_v<Archive, BinaryReader>>
CEREAL_SERIALIZE_FUNCTION_NAME(Archive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template<typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BinaryWriter &archive, cereal::SizeTag<Value> &tag)
{
    archive(tag.size);
}

// Each element takes a byte or more.
template<typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BinaryReader &archive, cereal::SizeTag<Value> &tag)
{
    archive(tag.size);
    archive.requireRemaining(tag.size);
}

// The library's own function allocates all elements before it reads the first one.
template<typename Value, typename Allocator>
void CEREAL_LOAD_FUNCTION_NAME(BinaryReader &archive, std::vector<Value, Allocator> &values)
{
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    values.clear();
    for (cereal::size_type i = 0; i < size; ++i)
        archive(values.emplace_back());
}

} // namespace Hibiscus::internal

CEREAL_SETUP_ARCHIVE_TRAITS(Hibiscus::internal::BinaryReader, Hibiscus::internal::BinaryWriter)
