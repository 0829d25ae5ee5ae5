#pragma once

namespace Hibiscus {

/** \brief A visitor for std::visit, composed of one function for each alternative. */
template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace Hibiscus
