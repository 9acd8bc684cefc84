// The process that connects one backend server to the system.
//
// Runs the layer steps of a pipeline stage on the engine, or calls to a plain
// service. Announces the server to entry nodes and passes orders on to it.
//
// Example:
//   agent server_agent{io, options, clock, events, registry};
//   BOOST_LEAF_CHECK(server_agent.start());
//   ...
//   server_agent.begin_drain();
//   while (!server_agent.drained()) ...
#pragma once

#include "oleanderhinge/agent/options.hpp"
#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/timeline/event.hpp"
#include "oleanderhinge/timeline/hybrid_clock.hpp"

#include <boost/asio/io_context.hpp>
#include <prometheus/registry.h>

#include <memory>

namespace oleanderhinge::agent
{

namespace internal
{
class runtime;
}

// The endpoints that the agent is bound to. A configured port of 0 is replaced
// by the port that the system chose.
struct bound_endpoints {
    wire::endpoint links;
    wire::endpoint announcements;
};

// Version of the library.
const char* version();

// Thread-safe. The referenced objects must outlive the agent, and no thread may
// run `io` when it is destroyed.
class agent
{
public:
    agent(
        boost::asio::io_context& io,
        agent_options options,
        timeline::hybrid_clock& clock,
        timeline::recorder& events,
        prometheus::Registry& registry);
    ~agent();
    agent(const agent&) = delete;
    agent& operator=(const agent&) = delete;

    // Commands.

    // Listens and starts to probe the backend server and to announce it. Fails
    // with `io` if an endpoint cannot be bound.
    base::result<bound_endpoints> start();
    // Announces that the server is leaving and refuses new work. Work in
    // progress continues. Further calls have no effect.
    void begin_drain();
    // Closes all links and stops announcing. Further calls have no effect.
    void stop();
    // Updates the gauges in the registry; counters and histograms are always
    // current.
    void update_metrics();

    // Queries.

    // Whether `begin_drain` has taken effect and no attempt or call is in
    // progress.
    bool drained() const;
    // Ready while the backend server answers and the agent accepts new work;
    // otherwise with the reason.
    net::readiness ready() const;
    base::incarnation own_incarnation() const;

private:
    const std::unique_ptr<internal::runtime> state;
};

} // namespace oleanderhinge::agent
