#include "oleanderhinge/gateway/settings.hpp"

#include "oleanderhinge/settings/node_keys.hpp"

namespace oleanderhinge::gateway
{

using settings::value_type;

namespace
{

// Limit on the attempts of one request, including those that no server ran.
// More attempts would only spread an overload.
constexpr std::uint32_t max_attempts_per_request = 5;

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
         "time after the signal to end in which new connections are taken"},
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
        {"retries",
         "share",
         value_type::number,
         "0.2",
         "0",
         "1",
         "requests sent again for each request, over all gateways"},
        {"retries",
         "slack",
         value_type::integer,
         "100",
         "0",
         "1000000",
         "requests sent again in a window whatever the traffic, over all "
         "gateways"},
        {"retries",
         "window",
         value_type::duration,
         "10s",
         "1s",
         "10min",
         "window of retries.slack"},
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

retry::budget_options read_retries(const settings::values& checked)
{
    // Of the slack, 45 % may be saved up and 45 % are earned in a window. The
    // remaining tenth is reserved for gateways that do not know of each other
    // yet.
    constexpr double margin = 0.45;
    const std::chrono::duration<double> window =
        checked.duration("retries.window");
    const auto slack = double(checked.integer("retries.slack"));
    retry::budget_options options;
    options.success_share = checked.number("retries.share") * margin;
    options.floor_per_second = slack * margin / window.count();
    options.max_saved = slack * margin;
    options.starts_empty = true;
    options.max_attempts = max_attempts_per_request;
    return options;
}

} // namespace

settings::schema gateway_keys()
{
    auto keys = settings::node_keys();
    for (const auto& part : {own_keys(), settings::timing_keys()})
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
    chosen.management = checked.endpoint("management.listen");
    if (checked.has("management.metrics"))
        chosen.metrics = checked.endpoint_list("management.metrics");
    const auto port = std::uint16_t(checked.integer("control.link_port"));
    for (const auto& seed : checked.endpoint_list("control.seeds"))
        chosen.seeds.push_back({seed.address, port});
    chosen.retries = read_retries(checked);
    chosen.times = settings::load_timing(checked);
    BOOST_LEAF_CHECK(settings::check_timing(chosen.times));
    return chosen;
}

} // namespace oleanderhinge::gateway
