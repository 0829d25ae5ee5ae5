#pragma once

#include <string>
#include <vector>

namespace Hibiscus::Fuzz {

/** \brief Decodes \a input as one of the messages that the programs receive; its first byte selects
 * which. Whatever the input is, the decoder must return a value or an error.
 */
void decodeAny(const std::string &input);

/** \returns valid inputs of decodeAny(), at least one for each decoder. */
std::vector<std::string> validInputs();

} // namespace Hibiscus::Fuzz
