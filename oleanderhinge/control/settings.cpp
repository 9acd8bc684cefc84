#include "oleanderhinge/control/settings.hpp"

#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/settings/node_keys.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

using settings::value_type;

constexpr std::size_t min_token_length = 16;
constexpr std::size_t min_secret_length = 16;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == text.npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<wire::endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == text.npos)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failed] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    std::string address(text.substr(0, colon));
    boost::system::error_code bad;
    boost::asio::ip::make_address(address, bad);
    if (bad || failed != std::errc() || port == 0 ||
        end != digits.data() + digits.size())
        return std::nullopt;
    return wire::endpoint{std::move(address), port};
}

std::optional<replica::member> parse_member(std::string_view text)
{
    const auto equals = text.find('=');
    const auto slash = text.find('/');
    if (equals == text.npos || slash == text.npos || slash < equals)
        return std::nullopt;
    const auto vm = trimmed(text.substr(0, equals));
    const auto link =
        parse_endpoint(trimmed(text.substr(equals + 1, slash - equals - 1)));
    const auto admin = parse_endpoint(trimmed(text.substr(slash + 1)));
    if (vm.empty() || !link || !admin)
        return std::nullopt;
    return replica::member{base::vm_id{std::string(vm)}, *link, *admin, true};
}

// A random UUID of version 4.
std::string random_uuid()
{
    base::random_source random{base::entropy_seed()};
    const auto high = random.next() ^ base::entropy_seed();
    const auto low = random.next() ^ base::entropy_seed();
    std::array<char, 37> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%08x-%04x-4%03x-%04x-%012llx",
        unsigned(high >> 32),
        unsigned(high >> 16) & 0xffffU,
        unsigned(high) & 0xfffU,
        (unsigned(low >> 48) & 0x3fffU) | 0x8000U,
        static_cast<unsigned long long>(low & 0xffffffffffffULL));
    return text.data();
}

void check_length(
    const char* name,
    const std::string& value,
    std::size_t min_length,
    std::string& faults)
{
    if (value.size() < min_length)
        faults += std::string(name) + " has " + std::to_string(value.size()) +
                  " characters, must have at least " +
                  std::to_string(min_length) + "\n";
}

bool is_listed(const control_settings& chosen, const base::vm_id& vm)
{
    return std::any_of(
        chosen.members.begin(), chosen.members.end(), [&](const auto& item) {
            return item.vm == vm;
        });
}

// Returns members for control nodes of which only the admin endpoints are
// known: each is named by its address.
std::vector<replica::member> members_from_seeds(
    const std::vector<wire::endpoint>& seeds, std::uint16_t link_port)
{
    std::vector<replica::member> found;
    found.reserve(seeds.size());
    for (const auto& seed : seeds)
        found.push_back(
            {base::vm_id{seed.address}, {seed.address, link_port}, seed, true});
    return found;
}

void check_own_membership(const control_settings& chosen, std::string& faults)
{
    const auto& vm = chosen.service.link.self.vm;
    if (!is_listed(chosen, vm))
        faults += "control.members does not name node.vm " + vm.value() + "\n";
}

net::link_options
link_options(const settings::values& checked, const settings::timing& times)
{
    net::link_options options;
    options.cluster_secret = checked.text("node.cluster_secret");
    options.self.sender = wire::role::control;
    options.self.vm = base::vm_id{checked.text("node.vm")};
    options.self.sender_incarnation = base::incarnation{base::entropy_seed()};
    options.self.region = base::region_id{checked.text("node.region")};
    options.self.data_centre =
        base::data_centre_id{checked.text("node.data_centre")};
    options.timing = net::timing_of(times);
    return options;
}

service_options
read_service(const settings::values& checked, const settings::timing& times)
{
    service_options options;
    options.link = link_options(checked, times);
    options.link_listen = checked.endpoint("link.listen");
    options.admin_listen = checked.endpoint("admin.listen");
    options.management_listen = checked.endpoint("management.listen");
    options.admin_token = checked.text("admin.token");
    options.fanout = std::size_t(checked.integer("config.fanout"));
    constexpr double bytes_per_mbit = 125000;
    constexpr double bulk_share = 0.5;
    options.bulk_rate =
        checked.number("link.bandwidth") * bytes_per_mbit * bulk_share;
    options.confirm_interval = times.config_confirm_interval;
    options.config_lease = times.config_lease;
    options.plan_retention = checked.duration("config.plan_retention");
    options.claims.retention_ms =
        std::uint64_t(std::chrono::duration_cast<std::chrono::milliseconds>(
                          checked.duration("claims.retention"))
                          .count());
    options.claims.max_claims =
        std::uint64_t(checked.integer("claims.max_claims"));
    options.claims.max_bytes = checked.size("claims.max_bytes");
    options.expire_interval = checked.duration("claims.expire_interval");
    options.timeline_events =
        std::size_t(checked.integer("management.timeline_events"));
    options.wall_ms = [] { return base::wall_clock_us() / 1000; };
    options.new_plan_id = random_uuid;
    options.seed = base::entropy_seed();
    return options;
}

settings::schema log_keys()
{
    return {
        {"node",
         "data_folder",
         value_type::text,
         "",
         "",
         "",
         "folder of the log and the snapshots; without it the node keeps no "
         "state, is no member and redirects calls to control.seeds",
         true},
        {"control",
         "members",
         value_type::text,
         "",
         "",
         "",
         "members at the first start: name=link endpoint/admin endpoint, "
         "separated by commas; without it control.seeds is required",
         true},
        {"control",
         "seeds",
         value_type::endpoint_list,
         "",
         "",
         "",
         "admin endpoints of some control nodes, which are named by their "
         "addresses and have this node's link port; node.vm must be the own "
         "address",
         true},
        {"control",
         "first_start",
         value_type::boolean,
         "true",
         "",
         "",
         "whether the nodes of control.seeds may form a new group"},
        {"control",
         "tolerated_losses",
         value_type::integer,
         "1",
         "0",
         "10",
         "members that may be lost at once; a group that finds itself by "
         "control.seeds needs twice as many and one, and has at most one more"},
        {"link",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "endpoint for links of entry and control nodes"},
        {"link",
         "bandwidth",
         value_type::number,
         "1000",
         "0.01",
         "10000000",
         "bandwidth of this node's network in Mbit/s; large configuration "
         "updates use half of it, since heartbeats share it"},
        {"config",
         "fanout",
         value_type::integer,
         "8",
         "1",
         "64",
         "entry nodes that subscribe to this node directly"},
        {"config",
         "plan_retention",
         value_type::duration,
         "24h",
         "1min",
         "720h",
         "time for which a plan can be confirmed and its result read"}};
}

settings::schema service_keys()
{
    return {
        {"claims",
         "retention",
         value_type::duration,
         "24h",
         "1min",
         "720h",
         "time for which an idempotency key is remembered"},
        {"claims",
         "max_claims",
         value_type::integer,
         "100000",
         "1",
         "10000000",
         "largest number of claims"},
        {"claims",
         "max_bytes",
         value_type::size,
         "64MiB",
         "1MiB",
         "4GiB",
         "largest size of all claims with their answers"},
        {"claims",
         "expire_interval",
         value_type::duration,
         "1min",
         "1s",
         "1h",
         "interval at which old claims and plans are dropped"},
        {"admin",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "endpoint of the admin API"},
        {"admin",
         "token",
         value_type::text,
         "",
         "",
         "",
         "bearer token of the operators, at least 16 characters"},
        {"management",
         "listen",
         value_type::endpoint,
         "",
         "",
         "",
         "endpoint of health, metrics and events"},
        {"management",
         "timeline_events",
         value_type::integer,
         "16384",
         "16",
         "1000000",
         "events that are kept for the time line"}};
}

} // namespace

settings::schema control_keys()
{
    auto keys = settings::node_keys();
    for (const auto& part :
         {log_keys(), service_keys(), settings::timing_keys()})
        keys.insert(keys.end(), part.begin(), part.end());
    return keys;
}

base::result<control_settings> load_settings(const settings::values& checked)
{
    control_settings chosen;
    chosen.times = settings::load_timing(checked);
    BOOST_LEAF_CHECK(settings::check_timing(chosen.times));
    chosen.service = read_service(checked, chosen.times);
    if (checked.has("control.members")) {
        BOOST_LEAF_ASSIGN(
            chosen.members, parse_members(checked.text("control.members")));
    } else if (checked.has("control.seeds")) {
        chosen.members = members_from_seeds(
            checked.endpoint_list("control.seeds"),
            chosen.service.link_listen.port);
        chosen.service.self_managed = true;
        chosen.service.tolerated_losses =
            std::uint32_t(checked.integer("control.tolerated_losses"));
        chosen.is_named = is_listed(chosen, chosen.service.link.self.vm);
        chosen.forms_group =
            checked.boolean("control.first_start") && chosen.is_named;
    } else {
        return base::fail(
            base::error_code::out_of_range,
            "control.members and control.seeds are both missing, one is "
            "required");
    }
    chosen.service.initial_members = chosen.members;
    if (checked.has("node.data_folder"))
        chosen.data_folder = checked.text("node.data_folder");
    chosen.threads = unsigned(checked.integer("node.threads"));
    std::string faults;
    check_length(
        "admin.token", chosen.service.admin_token, min_token_length, faults);
    check_length(
        "node.cluster_secret",
        chosen.service.link.cluster_secret,
        min_secret_length,
        faults);
    if (!chosen.service.self_managed)
        check_own_membership(chosen, faults);
    if (faults.empty())
        return chosen;
    faults.pop_back();
    return base::fail(base::error_code::out_of_range, faults);
}

base::result<std::vector<replica::member>>
parse_members(const std::string& text)
{
    std::vector<replica::member> found;
    for (std::size_t from = 0; from <= text.size();) {
        const auto end = std::min(text.find(',', from), text.size());
        const auto part = text.substr(from, end - from);
        from = end + 1;
        auto item = parse_member(part);
        if (!item)
            return base::fail(
                base::error_code::out_of_range,
                "control.members has '" + part +
                    "', must be like "
                    "control-1=127.0.0.1:7501/127.0.0.1:7601");
        for (const auto& other : found)
            if (other.vm == item->vm)
                return base::fail(
                    base::error_code::out_of_range,
                    "control.members names " + item->vm.value() + " twice");
        found.push_back(std::move(*item));
    }
    return found;
}

} // namespace oleanderhinge::control
