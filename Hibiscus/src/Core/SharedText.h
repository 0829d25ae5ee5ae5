#pragma once

#include <compare>
#include <memory>
#include <string>
#include <utility>

namespace Hibiscus {

/** \brief Immutable text whose copies share its memory. */
class SharedText
{
public:
    SharedText() = default;
    SharedText(std::string text) : shared(std::make_shared<const std::string>(std::move(text))) { }
    SharedText(const char *text) : SharedText(std::string(text)) { }

    const std::string &str() const
    {
        static const std::string empty;
        return this->shared ? *this->shared : empty;
    }
    std::size_t size() const { return this->str().size(); }
    bool isEmpty() const { return this->str().empty(); }

    bool operator==(const SharedText &other) const
    {
        return this->shared == other.shared || this->str() == other.str();
    }
    auto operator<=>(const SharedText &other) const { return this->str() <=> other.str(); }

    /** \brief Serialization for the cereal library. */
    template<typename Archive>
    void save(Archive &archive) const
    {
        archive(this->str());
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        std::string text;
        archive(text);
        *this = SharedText(std::move(text));
    }

private:
    std::shared_ptr<const std::string> shared; ///< null: the empty text
};

} // namespace Hibiscus
