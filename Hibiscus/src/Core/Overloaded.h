#pragma once

namespace Hibiscus {

/** \brief A visitor made of one function for each alternative of a std::variant. */
template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace Hibiscus
