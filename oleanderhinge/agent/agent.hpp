// The process beside one backend server.
//
// Runs its stage of chains on the engine, or calls on the plain service;
// announces the server to entry nodes and carries out orders.
//
// Example:
//   agent beside{io, options, clock, events, registry};
//   BOOST_LEAF_CHECK(beside.start());
//   ...
//   beside.begin_drain();
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

// Endpoints with the ports that were chosen for port 0.
struct bound_endpoints {
    wire::endpoint links;
    wire::endpoint announcements;
};

// Version of the library.
const char* version();

// Thread-safe. The objects that are referred to must outlive it, and no thread
// may run `io` any more when it is destroyed.
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

    // Listens and begins to announce. Fails with `io`.
    base::result<bound_endpoints> start();
    // Announces that the server is leaving and refuses new work.
    void begin_drain();
    void stop();
    // Copies gauges into the registry.
    void update_metrics();

    // Queries.

    // True after `begin_drain` when no attempt and no call is in progress.
    bool drained() const;
    // Ready while the backend server answers and the agent takes new work.
    net::readiness ready() const;
    base::incarnation own_incarnation() const;

private:
    const std::unique_ptr<internal::runtime> state;
};

} // namespace oleanderhinge::agent
