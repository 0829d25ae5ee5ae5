#include "test/fuzz/Decoders.h"

#include <cstdint>
#include <fstream>

/** \brief Writes the valid inputs to the folder corpus, from which the fuzzer starts. */
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerInitialize(int *, char ***)
{
    int number = 0;
    for (const std::string &input : Hibiscus::Fuzz::validInputs())
        std::ofstream("corpus/valid-" + std::to_string(number++), std::ios::binary) << input;
    return 0;
}

/** \brief Entry point of libFuzzer; see scripts/fuzz. */
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    Hibiscus::Fuzz::decodeAny(std::string(reinterpret_cast<const char *>(data), size));
    return 0;
}
