#include "oleanderhinge/entry/entry_node.hpp"

#include "oleanderhinge/settings/node_keys.hpp"

namespace oleanderhinge::entry
{

using settings::value_type;

settings::schema entry_schema()
{
    auto keys = settings::node_keys();
    const settings::schema own{
        {"entry",
         "link",
         value_type::endpoint,
         "",
         "",
         "",
         "TCP endpoint for other processes of the system"},
        {"entry",
         "announce",
         value_type::endpoint,
         "",
         "",
         "",
         "UDP endpoint for announcements"},
        {"entry",
         "callers",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint for callers"},
        {"entry",
         "max_in_progress",
         value_type::integer,
         "2000",
         "1",
         "100000",
         "requests in progress at this node; more are refused"},
        {"entry",
         "peers",
         value_type::endpoint_list,
         "",
         "",
         "",
         "announce endpoints of other entry nodes of the data centre",
         true},
        {"entry",
         "fanout",
         value_type::integer,
         "8",
         "1",
         "64",
         "entry nodes that get their configuration from this one"},
        {"control",
         "endpoints",
         value_type::endpoint_list,
         "",
         "",
         "",
         "link endpoints of the control VMs"},
        {"management",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "HTTP endpoint for health, metrics and events"},
    };
    keys.insert(keys.end(), own.begin(), own.end());
    const auto timing = settings::timing_keys();
    keys.insert(keys.end(), timing.begin(), timing.end());
    return keys;
}

base::result<entry_options> load_options(const settings::values& checked)
{
    entry_options options;
    options.vm = base::vm_id{checked.text("node.vm")};
    options.here.region = base::region_id{checked.text("node.region")};
    options.here.data_centre =
        base::data_centre_id{checked.text("node.data_centre")};
    options.cluster_secret = checked.text("node.cluster_secret");
    options.threads = unsigned(checked.integer("node.threads"));
    options.link = checked.endpoint("entry.link");
    options.announce = checked.endpoint("entry.announce");
    options.callers = checked.endpoint("entry.callers");
    options.max_in_progress =
        std::size_t(checked.integer("entry.max_in_progress"));
    if (checked.has("entry.peers"))
        options.peers = checked.endpoint_list("entry.peers");
    options.fanout = std::size_t(checked.integer("entry.fanout"));
    options.control = checked.endpoint_list("control.endpoints");
    options.management = checked.endpoint("management.listen");
    options.times = settings::load_timing(checked);
    BOOST_LEAF_CHECK(settings::check_timing(options.times));
    return options;
}

} // namespace oleanderhinge::entry
