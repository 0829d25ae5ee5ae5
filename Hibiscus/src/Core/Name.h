#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus {

/** \brief An immutable name; names with different tags do not mix.
 *
 * \tparam Tag an empty type that tells one kind of name from another.
 */
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : text(std::move(text)) { }

    const std::string &str() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    auto operator<=>(const Name &other) const = default;

    /** \brief Codec hook of the cereal library. */
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->text);
    }

private:
    std::string text;
};

/** \brief A process of the system, as named in the settings. */
using NodeName = Name<struct NodeNameTag>;
/** \brief A failure domain. */
using DomainName = Name<struct DomainNameTag>;
/** \brief A back end that runs tasks. */
using TargetName = Name<struct TargetNameTag>;
/** \brief A team whose use is limited by quota. */
using TeamName = Name<struct TeamNameTag>;
/** \brief A service offered by targets. */
using ServiceName = Name<struct ServiceNameTag>;
/** \brief A route: a kind of job, as the rules name it. */
using RouteName = Name<struct RouteNameTag>;

} // namespace Hibiscus

template<typename Tag>
struct std::hash<Hibiscus::Name<Tag>>
{
    std::size_t operator()(const Hibiscus::Name<Tag> &name) const
    {
        return std::hash<std::string> {}(name.str());
    }
};
