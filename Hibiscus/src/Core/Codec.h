#pragma once

#include "Hibiscus/src/Core/Error.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>

namespace Hibiscus {

/** \brief Encoded bytes. */
using Bytes = std::string;

/** \returns \a value in the portable binary format of messages and records. */
template<typename Value>
Bytes encode(const Value &value)
{
    std::ostringstream stream(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(value);
    }
    return std::move(stream).str();
}

/** \returns the value encoded in \a bytes, or Errc::MalformedMessage.
 *
 * Exceptions of the codec library for malformed input are caught here.
 */
template<typename Value>
Result<Value> decode(const Bytes &bytes)
{
    try {
        std::istringstream stream(bytes, std::ios::binary);
        cereal::PortableBinaryInputArchive archive(stream);
        Value value;
        archive(value);
        return value;
    } catch (const std::exception &) {
        return failure(Errc::MalformedMessage);
    }
}

} // namespace Hibiscus

/** \brief Declares the members of a message for the codec. */
#define HIBISCUS_FIELDS(...)                                                                       \
    template<typename Archive>                                                                     \
    void serialize(Archive &archive)                                                               \
    {                                                                                              \
        archive(__VA_ARGS__);                                                                      \
    }
