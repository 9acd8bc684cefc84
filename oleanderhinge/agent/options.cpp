#include "oleanderhinge/agent/options.hpp"

#include "oleanderhinge/settings/node_keys.hpp"

#include <iterator>

namespace oleanderhinge::agent
{

using settings::value_type;

namespace
{

settings::schema server_keys()
{
    return {
        {"server",
         "name",
         value_type::text,
         "",
         "",
         "",
         "name of the backend server"},
        {"server",
         "kind",
         value_type::text,
         "model",
         "",
         "",
         "model or service"},
        {"server",
         "endpoint",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint of the engine or service"},
        {"server",
         "service",
         value_type::text,
         "",
         "",
         "",
         "name of the plain service, for kind = service",
         true},
        {"server",
         "step_limit",
         value_type::duration,
         "10s",
         "10ms",
         "120s",
         "longest time of one step on the engine"},
        {"server",
         "control_limit",
         value_type::duration,
         "700ms",
         "10ms",
         "30s",
         "longest time of a request for information or an order"},
        {"server",
         "step_timeout",
         value_type::duration,
         "300ms",
         "10ms",
         "10s",
         "time for the next stage to acknowledge a step"},
        {"server",
         "step_tries",
         value_type::integer,
         "3",
         "1",
         "10",
         "times that a step is sent before the attempt fails"},
    };
}

} // namespace

settings::schema agent_keys()
{
    auto keys = settings::node_keys();
    const settings::schema agent_sections{
        {"agent",
         "links",
         value_type::endpoint,
         "",
         "",
         "",
         "TCP endpoint for entry nodes and other agents"},
        {"agent",
         "announcements",
         value_type::endpoint,
         "",
         "",
         "",
         "UDP endpoint that announcements are sent from"},
        {"agent",
         "events",
         value_type::integer,
         "4096",
         "64",
         "65536",
         "events of the time line that are kept"},
        {"entry_nodes",
         "seeds",
         value_type::endpoint_list,
         "",
         "",
         "",
         "UDP endpoints of entry nodes to announce to"},
        {"admission",
         "limit",
         value_type::integer,
         "0",
         "0",
         "4096",
         "attempts or calls at a time; 0: the batch of the engine"},
        {"admission",
         "max_queued",
         value_type::integer,
         "256",
         "0",
         "65536",
         "attempts or calls that may wait"},
        {"management",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint for health, metrics and events"},
    };
    keys.insert(keys.end(), agent_sections.begin(), agent_sections.end());
    const auto server = server_keys();
    keys.insert(keys.end(), server.begin(), server.end());
    auto timing = settings::timing_keys();
    keys.insert(
        keys.end(),
        std::make_move_iterator(timing.begin()),
        std::make_move_iterator(timing.end()));
    return keys;
}

namespace
{

base::result<void>
check_options(const agent_options& o, const std::string& kind)
{
    using base::error_code;
    BOOST_LEAF_CHECK(settings::check_timing(o.timing));
    if (kind != "model" && kind != "service")
        return base::fail(
            error_code::out_of_range,
            "server.kind is \"" + kind + "\"; allowed are model and service");
    if ((o.kind == base::route_kind::service) == o.service.empty())
        return base::fail(
            error_code::out_of_range,
            "server.service must be set for kind = service, and only then");
    if (o.execution.step_timeout * o.execution.step_tries >=
        o.timing.token_stall)
        return base::fail(
            error_code::out_of_range,
            "server.step_timeout times server.step_tries must be below "
            "request.token_stall");
    if (o.execution.fence_retention < 2 * o.timing.link_idle_silence)
        return base::fail(
            error_code::out_of_range,
            "link.idle_silence must be at most half of the time that fences "
            "are kept (60s)");
    return {};
}

} // namespace

base::result<agent_options> load_options(const settings::values& values)
{
    agent_options o;
    o.vm = base::vm_id(values.text("node.vm"));
    o.region = base::region_id(values.text("node.region"));
    o.data_centre = base::data_centre_id(values.text("node.data_centre"));
    o.cluster_secret = values.text("node.cluster_secret");
    o.threads = unsigned(values.integer("node.threads"));
    o.links = values.endpoint("agent.links");
    o.announcements = values.endpoint("agent.announcements");
    o.event_capacity = std::size_t(values.integer("agent.events"));
    o.management = values.endpoint("management.listen");
    o.entry_nodes = values.endpoint_list("entry_nodes.seeds");
    o.server = base::backend_server_id(values.text("server.name"));
    const auto kind = values.text("server.kind");
    o.kind =
        kind == "service" ? base::route_kind::service : base::route_kind::model;
    o.backend = values.endpoint("server.endpoint");
    if (values.has("server.service"))
        o.service = values.text("server.service");
    o.step_limit = values.duration("server.step_limit");
    o.control_limit = values.duration("server.control_limit");
    o.execution.step_timeout = values.duration("server.step_timeout");
    o.execution.step_tries = std::uint32_t(values.integer("server.step_tries"));
    o.slots.limit = std::uint32_t(values.integer("admission.limit"));
    o.slots.max_queued = std::uint32_t(values.integer("admission.max_queued"));
    o.timing = settings::load_timing(values);
    BOOST_LEAF_CHECK(check_options(o, kind));
    return o;
}

} // namespace oleanderhinge::agent
