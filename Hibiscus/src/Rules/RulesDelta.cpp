#include "Hibiscus/src/Rules/RulesDelta.h"

#include <algorithm>
#include <xxhash.h>

namespace Hibiscus {

std::uint64_t digestOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Splits at every line end, so that joining the parts gives back exactly the same text.
std::vector<std::string> linesOf(std::string_view text)
{
    std::vector<std::string> lines;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find('\n', begin);
        if (end == std::string_view::npos)
            break;
        lines.emplace_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    lines.emplace_back(text.substr(begin));
    return lines;
}

RulesDelta RulesDelta::between(std::string_view base, std::string_view next)
{
    const std::vector<std::string> before = linesOf(base);
    const std::vector<std::string> after = linesOf(next);
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t head = 0;
    while (head < shorter && before[head] == after[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head
           && before[before.size() - 1 - tail] == after[after.size() - 1 - tail])
        ++tail;
    RulesDelta delta;
    delta.baseDigest = digestOf(base);
    delta.firstLine = static_cast<std::uint32_t>(head);
    delta.removedLines = static_cast<std::uint32_t>(before.size() - head - tail);
    delta.inserted.assign(after.begin() + static_cast<std::ptrdiff_t>(head),
                          after.end() - static_cast<std::ptrdiff_t>(tail));
    return delta;
}

std::optional<std::string> RulesDelta::applyTo(std::string_view base) const
{
    if (digestOf(base) != this->baseDigest)
        return std::nullopt;
    std::vector<std::string> lines = linesOf(base);
    if (this->firstLine + this->removedLines > lines.size())
        return std::nullopt;
    const auto first = lines.begin() + this->firstLine;
    const auto kept = lines.erase(first, first + this->removedLines);
    lines.insert(kept, this->inserted.begin(), this->inserted.end());
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i)
        text += (i == 0 ? "" : "\n") + lines[i];
    return text;
}

} // namespace Hibiscus
