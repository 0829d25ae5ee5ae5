#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Settings>

namespace Hibiscus {

/** \brief Makes HTTP calls one after the other, for a command line program. */
class ControlClient
{
public:
    ControlClient();

    // Commands.
    /** \brief Calls and waits for the answer, at most \a timeout. */
    HttpCallResult call(const HttpCall &call, Duration timeout);
    /** \brief Calls the control node that leads, wherever that is. */
    HttpCallResult callLeader(const Deployment &deployment, const HttpCall &call);

private:
    EventLoop loop;
    HttpClient client;
};

} // namespace Hibiscus
