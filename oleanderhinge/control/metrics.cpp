#include "oleanderhinge/control/metrics.hpp"

#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/net/metric_builders.hpp"

#include <string>

namespace oleanderhinge::control
{

namespace
{

prometheus::Counter&
counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return net::add_counter(
        registry, std::string("oleanderhinge_control_") + name, help);
}

const char* to_string(wire::claim_state state)
{
    switch (state) {
    case wire::claim_state::granted:
        return "granted";
    case wire::claim_state::in_progress:
        return "in_progress";
    case wire::claim_state::finished:
        return "finished";
    case wire::claim_state::digest_mismatch:
        return "digest_mismatch";
    case wire::claim_state::expired:
        return "expired";
    case wire::claim_state::full:
        return "full";
    case wire::claim_state::unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace

state_sizes sizes_of(const control_state::state& from)
{
    return {
        from.config.at,
        from.plans.size(),
        from.plan_bytes,
        from.claims.size(),
        from.claim_bytes};
}

metrics::metrics(prometheus::Registry& registry)
    : plans_created(counter(registry, "plans_created_total", "Plans made"))
    , plans_invalid(counter(
          registry, "plans_invalid_total", "Plans refused by validation"))
    , plans_confirmed(
          counter(registry, "plans_confirmed_total", "Plans put in force"))
    , plans_conflicted(counter(
          registry,
          "plans_conflicted_total",
          "Confirmations refused, since an object had changed"))
    , admin_redirected(counter(
          registry,
          "admin_redirected_total",
          "Admin requests redirected to the leader"))
    , admin_unavailable(counter(
          registry,
          "admin_unavailable_total",
          "Admin requests refused without a quorum"))
    , outcomes_stored(counter(
          registry, "outcomes_stored_total", "Outcomes of claims recorded"))
    , outcomes_refused(counter(
          registry,
          "outcomes_refused_total",
          "Outcomes not recorded: no quorum or no such claim"))
    , updates_sent(counter(
          registry,
          "config_updates_sent_total",
          "Configuration updates sent to subscribers"))
    , subscribers_redirected(counter(
          registry,
          "subscribers_redirected_total",
          "Subscribers sent to another node"))
    , slow_subscribers_closed(counter(
          registry,
          "slow_subscribers_closed_total",
          "Links closed, since the subscriber read too slowly"))
    , layer_orders(counter(
          registry, "layer_orders_total", "Orders to hold other layers"))
    , layer_orders_aborting(counter(
          registry,
          "layer_orders_aborting_total",
          "Orders that abort the requests on layers given up"))
    , permits_granted(counter(
          registry,
          "permits_granted_total",
          "Requests that gateways were permitted to send to servers with a "
          "limit"))
    , claims(prometheus::BuildCounter()
                 .Name("oleanderhinge_control_claims_total")
                 .Help("Claim requests by the answer")
                 .Register(registry))
    , gauges(prometheus::BuildGauge()
                 .Name("oleanderhinge_control_state")
                 .Help("Present values by name")
                 .Register(registry))
{
}

void metrics::count_claim(wire::claim_state state)
{
    this->claims.Add({{"answer", to_string(state)}}).Increment();
}

void metrics::set_gauges(const state_sizes& sizes)
{
    const auto set = [this](const char* name, double value) {
        this->gauges.Add({{"name", name}}).Set(value);
    };
    set("revision", double(sizes.revision.value()));
    set("plans", double(sizes.plans));
    set("plan_bytes", double(sizes.plan_bytes));
    set("claims", double(sizes.claims));
    set("claim_bytes", double(sizes.claim_bytes));
}

void metrics::set_gauges(const replica::log_status& status, std::size_t needed)
{
    const auto set = [this](const char* name, double value) {
        this->gauges.Add({{"name", name}}).Set(value);
    };
    set("term", double(status.current_term.value()));
    set("last_index", double(status.last_index.value()));
    set("committed_index", double(status.committed.value()));
    set("applied_index", double(status.applied.value()));
    set("quorum", status.has_quorum ? 1 : 0);
    set("leader", status.role == replica::member_role::leader ? 1 : 0);
    set("members", double(status.members.size()));
    set("voters_missing", double(voters_missing(status, needed)));
    set("losses_borne", double(losses_borne(status)));
    set("lease_age_ms", double(status.lease_age_ms));
}

void metrics::set_gauges(const net::link_counters& counters)
{
    const auto set = [this](const char* name, double value) {
        this->gauges.Add({{"name", name}}).Set(value);
    };
    set("links_opened", double(counters.opened));
    set("links_closed", double(counters.closed));
    set("links_silent", double(counters.silent));
    set("links_malformed", double(counters.malformed));
    set("links_handshake_failed", double(counters.handshake_failed));
    set("link_bytes_sent", double(counters.bytes_sent));
    set("link_bytes_received", double(counters.bytes_received));
}

void metrics::set_subscribers(std::size_t subscribers)
{
    this->gauges.Add({{"name", "subscribers"}}).Set(double(subscribers));
}

void metrics::set_limited_servers(std::size_t servers)
{
    this->gauges.Add({{"name", "limited_servers"}}).Set(double(servers));
}

} // namespace oleanderhinge::control
