#include "Hibiscus/src/Rules/RulesDelta.h"

#include <algorithm>
#include <xxhash.h>

namespace Hibiscus {

std::uint64_t digestOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Splits at each line feed, and keeps empty parts, so that joining the parts with line feeds
// restores the text exactly.
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
    const std::vector<std::string> baseLines = linesOf(base);
    const std::vector<std::string> nextLines = linesOf(next);
    const std::size_t minLineCount = std::min(baseLines.size(), nextLines.size());
    std::size_t commonHead = 0;
    while (commonHead < minLineCount && baseLines[commonHead] == nextLines[commonHead])
        ++commonHead;
    std::size_t commonTail = 0;
    while (commonTail < minLineCount - commonHead
           && baseLines[baseLines.size() - 1 - commonTail]
               == nextLines[nextLines.size() - 1 - commonTail])
        ++commonTail;
    RulesDelta delta;
    delta.baseDigest = digestOf(base);
    delta.firstLine = static_cast<std::uint32_t>(commonHead);
    delta.removedLineCount = static_cast<std::uint32_t>(baseLines.size() - commonHead - commonTail);
    delta.insertedLines.assign(nextLines.begin() + static_cast<std::ptrdiff_t>(commonHead),
                               nextLines.end() - static_cast<std::ptrdiff_t>(commonTail));
    return delta;
}

std::optional<std::string> RulesDelta::applyTo(std::string_view base) const
{
    if (digestOf(base) != this->baseDigest)
        return std::nullopt;
    std::vector<std::string> lines = linesOf(base);
    if (this->firstLine + this->removedLineCount > lines.size())
        return std::nullopt;
    const auto first = lines.begin() + this->firstLine;
    const auto insertAt = lines.erase(first, first + this->removedLineCount);
    lines.insert(insertAt, this->insertedLines.begin(), this->insertedLines.end());
    std::string text;
    for (std::size_t i = 0; i < lines.size(); ++i)
        text += (i == 0 ? "" : "\n") + lines[i];
    return text;
}

} // namespace Hibiscus
