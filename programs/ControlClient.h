#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Settings>

namespace Hibiscus {

/** \brief Makes blocking HTTP calls for a command line program. */
class ControlClient
{
public:
    ControlClient();

    // Commands.
    /** \brief Calls and waits for the answer, at most \a timeout. */
    HttpCallResult call(const HttpCall &call, Duration timeout);
    /** \brief Calls the leader of the control group; finds it by trying the control nodes in turn.
     */
    HttpCallResult callLeader(const Deployment &deployment, const HttpCall &call);

private:
    EventLoop loop;
    HttpClient client;
};

} // namespace Hibiscus
