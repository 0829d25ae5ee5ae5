#include "test/fuzz/Decoders.h"

#include <gtest/gtest.h>
#include <random>

using namespace Hibiscus;

namespace {

constexpr int mutationsPerRun = 60'000;

/** \brief Changes, cuts, repeats or inserts bytes of \a input at random. */
std::string mutated(std::string input, const std::vector<std::string> &others,
                    std::mt19937_64 &random)
{
    const auto count = 1 + random() % 4;
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::size_t place = input.empty() ? 0 : random() % input.size();
        const std::string &other = others[random() % others.size()];
        switch (random() % 5) {
        case 0:
            if (!input.empty())
                input[place] = static_cast<char>(random());
            break;
        case 1:
            input.resize(place);
            break;
        case 2:
            input.insert(place, 1 + random() % 8, static_cast<char>(random() % 2 == 0 ? -1 : 0));
            break;
        case 3:
            input.insert(place, input.substr(place, random() % 64));
            break;
        default:
            input.insert(place, other.substr(random() % other.size(), random() % 64));
            break;
        }
    }
    return input;
}

// Guards against a process that a malformed message or file ends. scripts/fuzz looks for more with
// a coverage-guided fuzzer.
TEST(DecoderFuzz, MutatedInputsAreDecodedOrRefused)
{
    const std::uint64_t seed
        = 20261205ULL + static_cast<std::uint64_t>(testing::UnitTest::GetInstance()->random_seed());
    SCOPED_TRACE("seed " + std::to_string(seed));
    RecordProperty("seed", std::to_string(seed));
    std::mt19937_64 random(seed);
    const std::vector<std::string> valid = Fuzz::validInputs();
    for (const std::string &input : valid)
        Fuzz::decodeAny(input);
    for (int i = 0; i < mutationsPerRun; ++i)
        Fuzz::decodeAny(mutated(valid[random() % valid.size()], valid, random));
}

} // namespace
