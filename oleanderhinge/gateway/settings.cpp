#include "oleanderhinge/gateway/settings.hpp"

#include "oleanderhinge/settings/node_keys.hpp"

#include <algorithm>

namespace oleanderhinge::gateway
{

using settings::value_type;

namespace
{

// Limit on the attempts of one request, including those that no server ran.
// More attempts would only spread an overload.
constexpr std::uint32_t max_attempts_per_request = 5;
// The process ends by itself this long before it would be killed.
constexpr auto kill_margin = std::chrono::milliseconds(500);

settings::schema own_keys()
{
    return {
        {"gateway",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint for callers"},
        {"gateway",
         "leave_time",
         value_type::duration,
         "2500ms",
         "0s",
         "1min",
         "time after the signal to end in which new connections are taken, at "
         "most a third of gateway.kill_delay"},
        {"gateway",
         "kill_delay",
         value_type::duration,
         "",
         "1s",
         "1h",
         "time from the signal to end until the process is killed; "
         "request.drain_limit ends half a second before",
         true},
        {"gateway",
         "memory",
         value_type::number,
         "256",
         "1",
         "1000000",
         "memory that the process may use, in MB; a quarter of it is for "
         "answers that are not passed on yet, a quarter for requests of "
         "callers"},
        {"gateway",
         "descriptors",
         value_type::integer,
         "65536",
         "64",
         "10000000",
         "open descriptors that the process may have, if the system allows as "
         "many; two fifths are for connections of callers, as many for those "
         "to "
         "servers, a twentieth for each management endpoint"},
        {"control",
         "seeds",
         value_type::endpoint_list,
         "",
         "",
         "",
         "endpoints of some control nodes; their addresses count"},
        {"control",
         "link_port",
         value_type::integer,
         "",
         "1",
         "65535",
         "port for links of the control nodes"},
        {"management",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint for health, metrics and events"},
        {"management",
         "metrics",
         value_type::endpoint_list,
         "",
         "",
         "",
         "a second endpoint for the same",
         true}};
}

// Limits on what is sent to backend servers.
settings::schema limit_keys()
{
    return {
        {"retries",
         "share",
         value_type::number,
         "0.2",
         "0",
         "10",
         "requests sent again for each request, over all gateways"},
        {"retries",
         "slack",
         value_type::number,
         "100",
         "0",
         "1000000",
         "requests sent again in a window whatever the traffic, over all "
         "gateways"},
        {"retries",
         "window",
         value_type::duration,
         "10s",
         "100ms",
         "10min",
         "window of retries.slack"},
        {"hedging",
         "share",
         value_type::number,
         "0",
         "0",
         "0.5",
         "second attempts beside the first for each request that may be "
         "repeated, over all gateways; they also count for retries.share"},
        {"hedging",
         "slack",
         value_type::number,
         "0",
         "0",
         "1000000",
         "second attempts beside the first in retries.window whatever the "
         "traffic, over all gateways; they also count for retries.slack"},
        {"servers",
         "move_streams_early",
         value_type::boolean,
         "false",
         "",
         "",
         "streams leave a server when it announces its end, not when it ends"},
        {"servers",
         "max_backoff",
         value_type::duration,
         "",
         "1s",
         "10min",
         "limit on the time for which a server gets no requests because of a "
         "Retry-After in its answer; none: as long as the server asks",
         true}};
}

retry::shared_budget_options read_retries(const settings::values& checked)
{
    return {
        checked.number("retries.share"),
        checked.number("retries.slack"),
        checked.duration("retries.window"),
        max_attempts_per_request};
}

// Second attempts beside the first.
retry::shared_budget_options read_hedges(const settings::values& checked)
{
    auto limit = read_retries(checked);
    limit.request_share = checked.number("hedging.share");
    limit.slack = checked.number("hedging.slack");
    return limit;
}

} // namespace

settings::schema gateway_keys()
{
    auto keys = settings::node_keys();
    for (const auto& part : {own_keys(), limit_keys(), settings::timing_keys()})
        keys.insert(keys.end(), part.begin(), part.end());
    return keys;
}

base::result<gateway_settings> load_settings(const settings::values& checked)
{
    gateway_settings chosen;
    chosen.vm = base::vm_id{checked.text("node.vm")};
    chosen.region = base::region_id{checked.text("node.region")};
    chosen.data_centre = base::data_centre_id{checked.text("node.data_centre")};
    chosen.cluster_secret = checked.text("node.cluster_secret");
    chosen.listen = checked.endpoint("gateway.listen");
    chosen.leave_time = checked.duration("gateway.leave_time");
    constexpr double megabyte = 1e6;
    chosen.memory = std::size_t(checked.number("gateway.memory") * megabyte);
    chosen.descriptors = std::size_t(checked.integer("gateway.descriptors"));
    chosen.management = checked.endpoint("management.listen");
    if (checked.has("management.metrics"))
        chosen.metrics = checked.endpoint_list("management.metrics");
    const auto port = std::uint16_t(checked.integer("control.link_port"));
    for (const auto& seed : checked.endpoint_list("control.seeds"))
        chosen.seeds.push_back({seed.address, port});
    chosen.retries = read_retries(checked);
    chosen.hedges = read_hedges(checked);
    chosen.move_streams_early = checked.boolean("servers.move_streams_early");
    if (checked.has("servers.max_backoff"))
        chosen.max_backoff = checked.duration("servers.max_backoff");
    chosen.times = settings::load_timing(checked);
    if (checked.has("gateway.kill_delay")) {
        const auto delay = checked.duration("gateway.kill_delay");
        chosen.times.drain_limit =
            std::min(chosen.times.drain_limit, delay - kill_margin);
        chosen.leave_time = std::min(chosen.leave_time, delay / 3);
    }
    BOOST_LEAF_CHECK(settings::check_timing(chosen.times));
    return chosen;
}

} // namespace oleanderhinge::gateway
