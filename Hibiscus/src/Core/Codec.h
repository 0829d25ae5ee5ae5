#pragma once

#include "Hibiscus/src/Core/BinaryArchive.h"
#include "Hibiscus/src/Core/Error.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <string>

namespace Hibiscus {

/** \brief Encoded bytes. */
using Bytes = std::string;

/** \returns \a value in the binary format of messages and records, which is that of cereal's
 * portable archives on a little-endian machine.
 */
template<typename Value>
Bytes encode(const Value &value)
{
    Bytes bytes;
    internal::BinaryWriter archive(bytes);
    archive(value);
    return bytes;
}

/** \returns the value encoded in \a bytes, or Errc::MalformedMessage.
 *
 * Exceptions of the codec library for malformed input are caught here.
 */
template<typename Value>
Result<Value> decode(const Bytes &bytes)
{
    try {
        internal::BinaryReader archive(bytes);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return failure(Errc::MalformedMessage);
    }
}

/** \brief Reads or writes the last member of a message, which earlier versions do not have: where
 * the input ends before it, it keeps its default.
 */
template<typename Archive, typename Value>
void serializeAddedField(Archive &archive, Value &value)
{
    if constexpr (std::is_same_v<Archive, internal::BinaryReader>) {
        if (archive.isAtEnd())
            return;
    }
    archive(value);
}

} // namespace Hibiscus

/** \brief Declares the members of a message for the codec. */
#define HIBISCUS_FIELDS(...)                                                                       \
    template<typename Archive>                                                                     \
    void serialize(Archive &archive)                                                               \
    {                                                                                              \
        archive(__VA_ARGS__);                                                                      \
    }
