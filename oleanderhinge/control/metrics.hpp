// Counters and gauges of the control daemon.
//
// Example:
//   metrics numbers{registry};
//   numbers.plans_created.Increment();
#pragma once

#include "oleanderhinge/control_state/state.hpp"
#include "oleanderhinge/net/link_table.hpp"
#include "oleanderhinge/replica/replicated_log.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstddef>

namespace oleanderhinge::control
{

// Sizes of the state machine, shown as gauges and read at each scrape.
struct state_sizes {
    base::revision revision;
    std::size_t plans = 0;
    std::size_t plan_bytes = 0;
    std::size_t claims = 0;
    std::size_t claim_bytes = 0;
};

// Query for `replicated_state::read`.
state_sizes sizes_of(const control_state::state& from);

class metrics
{
public:
    explicit metrics(prometheus::Registry& registry);

    prometheus::Counter& plans_created;
    prometheus::Counter& plans_invalid;
    prometheus::Counter& plans_confirmed;
    prometheus::Counter& plans_conflicted;
    prometheus::Counter& admin_redirected;
    prometheus::Counter& admin_unavailable;
    prometheus::Counter& outcomes_stored;
    prometheus::Counter& outcomes_refused;
    prometheus::Counter& updates_sent;
    prometheus::Counter& subscribers_redirected;
    prometheus::Counter& slow_subscribers_closed;
    prometheus::Counter& layer_orders;
    prometheus::Counter& layer_orders_aborting;
    prometheus::Counter& permits_granted;

    void count_claim(wire::claim_state state);
    void set_gauges(const state_sizes& sizes);
    // `needed` is the number of voters that bear the tolerated losses.
    void set_gauges(const replica::log_status& status, std::size_t needed);
    void set_gauges(const net::link_counters& counters);
    void set_subscribers(std::size_t subscribers);
    void set_limited_servers(std::size_t servers);

private:
    prometheus::Family<prometheus::Counter>& claims;
    prometheus::Family<prometheus::Gauge>& gauges;
};

} // namespace oleanderhinge::control
