#include "oleanderhinge/settings/timing.hpp"

#include "oleanderhinge/settings/internal/units.hpp"

#include <array>
#include <string>

namespace oleanderhinge::settings
{

namespace
{

using internal::format_duration;

// One setting: its key and its member. The default is the member's.
struct entry {
    const char* section;
    const char* name;
    base::duration timing::*member;
    const char* smallest;
    const char* largest;
    const char* help;
};

constexpr std::array entries = {
    entry{
        "link",
        "busy_heartbeat",
        &timing::link_busy_heartbeat,
        "10ms",
        "1min",
        "interval of pings on a link with requests outstanding"},
    entry{
        "link",
        "busy_silence",
        &timing::link_busy_silence,
        "30ms",
        "5min",
        "time without traffic after which a link with requests outstanding is "
        "closed"},
    entry{
        "link",
        "idle_heartbeat",
        &timing::link_idle_heartbeat,
        "10ms",
        "10min",
        "interval of pings on an idle link"},
    entry{
        "link",
        "idle_silence",
        &timing::link_idle_silence,
        "20ms",
        "30min",
        "time without traffic after which an idle link is closed"},
    entry{
        "link",
        "handshake",
        &timing::link_handshake,
        "10ms",
        "1min",
        "time limit from the start of a connection to the end of its "
        "handshake"},
    entry{
        "announce",
        "interval",
        &timing::announce_interval,
        "10ms",
        "1min",
        "interval of announcements, directory batches and entry heartbeats"},
    entry{
        "announce",
        "server_lease",
        &timing::server_lease,
        "30ms",
        "5min",
        "time after its last announcement at which a server expires"},
    entry{
        "raft",
        "heartbeat",
        &timing::raft_heartbeat,
        "10ms",
        "10s",
        "interval of the leader's messages to the other control nodes"},
    entry{
        "raft",
        "leader_lease",
        &timing::leader_lease,
        "30ms",
        "1min",
        "time after its last evidence of a quorum at which a leader steps "
        "down"},
    entry{
        "raft",
        "election_timeout_min",
        &timing::election_timeout_min,
        "50ms",
        "2min",
        "smallest time without a leader after which an election starts"},
    entry{
        "raft",
        "election_timeout_max",
        &timing::election_timeout_max,
        "50ms",
        "5min",
        "largest time without a leader after which an election starts"},
    entry{
        "raft",
        "margin",
        &timing::margin,
        "1ms",
        "10s",
        "allowance for clock drift and scheduling delay"},
    entry{
        "config",
        "confirm_interval",
        &timing::config_confirm_interval,
        "10ms",
        "10s",
        "interval of configuration confirms down the tree"},
    entry{
        "config",
        "lease",
        &timing::config_lease,
        "50ms",
        "1min",
        "age of the confirmed configuration at which an entry node stops "
        "serving"},
    entry{
        "request",
        "token_stall",
        &timing::token_stall,
        "10ms",
        "10min",
        "time without a token after which another chain is tried"},
    entry{
        "request",
        "drain_limit",
        &timing::drain_limit,
        "0s",
        "1h",
        "time that requests in progress get at shutdown"},
};

std::string name_of(base::duration timing::*member)
{
    for (const auto& e : entries)
        if (e.member == member)
            return std::string(e.section) + "." + e.name;
    return "unknown setting";
}

// left * factor + added must be below the right side, or may equal it.
struct relation {
    base::duration timing::*left;
    int factor;
    base::duration timing::*added;
    bool may_equal;
    base::duration timing::*right;
};

constexpr std::array relations = {
    relation{
        &timing::link_busy_heartbeat,
        3,
        nullptr,
        true,
        &timing::link_busy_silence},
    relation{
        &timing::link_idle_heartbeat,
        2,
        nullptr,
        true,
        &timing::link_idle_silence},
    relation{
        &timing::announce_interval, 2, nullptr, false, &timing::server_lease},
    relation{&timing::raft_heartbeat, 3, nullptr, false, &timing::leader_lease},
    relation{
        &timing::leader_lease,
        1,
        &timing::margin,
        false,
        &timing::election_timeout_min},
    relation{
        &timing::election_timeout_min,
        1,
        nullptr,
        true,
        &timing::election_timeout_max},
    relation{
        &timing::config_confirm_interval,
        3,
        nullptr,
        false,
        &timing::config_lease},
};

std::string setting(const timing& times, base::duration timing::*member)
{
    return name_of(member) + " = " + format_duration(times.*member);
}

bool holds(const timing& times, const relation& r)
{
    auto left = times.*r.left * r.factor;
    if (r.added != nullptr)
        left += times.*r.added;
    return r.may_equal ? left <= times.*r.right : left < times.*r.right;
}

std::string describe(const timing& times, const relation& r)
{
    auto text = setting(times, r.left);
    if (r.factor != 1)
        text += ", times " + std::to_string(r.factor) + ",";
    if (r.added != nullptr)
        text += " plus " + setting(times, r.added);
    text += r.may_equal ? " must not exceed " : " must be below ";
    return text + setting(times, r.right);
}

} // namespace

schema timing_keys()
{
    const timing defaults;
    schema keys;
    for (const auto& e : entries)
        keys.push_back(
            {e.section,
             e.name,
             value_type::duration,
             format_duration(defaults.*e.member),
             e.smallest,
             e.largest,
             e.help});
    return keys;
}

timing load_timing(const values& checked)
{
    timing times;
    for (const auto& e : entries)
        times.*e.member =
            checked.duration(std::string(e.section) + "." + e.name);
    return times;
}

base::result<void> check_timing(const timing& times)
{
    std::string faults;
    for (const auto& r : relations)
        if (!holds(times, r))
            faults += (faults.empty() ? "" : "\n") + describe(times, r);
    if (times.config_lease >= max_config_delay)
        faults += (faults.empty() ? "" : "\n") +
                  setting(times, &timing::config_lease) +
                  " must be below the limit of " +
                  format_duration(max_config_delay) +
                  " in which a change is in force everywhere";
    if (!faults.empty())
        return base::fail(base::error_code::out_of_range, faults);
    return {};
}

} // namespace oleanderhinge::settings
