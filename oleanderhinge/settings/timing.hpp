// All timing constants of the system and the relations between them.
//
// Source: docs/design.md, section 9. A daemon appends `timing_keys()` to its
// schema and refuses to start when `check_timing` fails.
//
// Example:
//   auto keys = timing_keys();
//   BOOST_LEAF_AUTO(values, load("entry.ini", keys));
//   const auto times = load_timing(values);
//   BOOST_LEAF_CHECK(check_timing(times));
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/settings/schema.hpp"

#include <chrono>

namespace oleanderhinge::settings
{

// Largest time in which a configuration change is in force everywhere
// (docs/design.md, section 1.6); bounds the configuration lease.
inline constexpr base::duration max_config_delay = std::chrono::seconds(19);

struct timing {
    // Section link. Busy: with requests outstanding.
    base::duration link_busy_heartbeat = std::chrono::milliseconds(250);
    base::duration link_busy_silence = std::chrono::milliseconds(1000);
    base::duration link_idle_heartbeat = std::chrono::seconds(5);
    base::duration link_idle_silence = std::chrono::seconds(12);
    // From the start of a connection to the end of the handshake.
    base::duration link_handshake = std::chrono::milliseconds(1000);
    // Section announce.
    base::duration announce_interval = std::chrono::seconds(1);
    // Time after its last announcement at which a server expires.
    base::duration server_lease = std::chrono::seconds(3);
    // Section raft.
    base::duration raft_heartbeat = std::chrono::milliseconds(150);
    base::duration leader_lease = std::chrono::milliseconds(700);
    base::duration election_timeout_min = std::chrono::milliseconds(1000);
    base::duration election_timeout_max = std::chrono::milliseconds(2000);
    // Allowance for clock drift and scheduling delay.
    base::duration margin = std::chrono::milliseconds(200);
    // Section config.
    base::duration config_confirm_interval = std::chrono::seconds(1);
    base::duration config_lease = std::chrono::seconds(5);
    // Section request.
    base::duration token_stall = std::chrono::milliseconds(1500);
    base::duration drain_limit = std::chrono::seconds(60);

    bool operator==(const timing&) const = default;
};

// Keys of the sections link, announce, raft, config and request, with the
// defaults above.
schema timing_keys();

// The timing constants of values that were loaded with `timing_keys()`.
timing load_timing(const values& checked);

// Fails with `out_of_range` if a relation of docs/design.md, section 9, is
// broken. Each broken relation is one line that names its settings and their
// values.
base::result<void> check_timing(const timing& times);

} // namespace oleanderhinge::settings
