// Decides when a link sends a ping and when it counts as silent.
//
// Received traffic proves the incoming direction. The outgoing direction is
// proved only by a pong, because a connection can go silent in one direction
// while traffic still arrives in the other.
//
// Example:
//   switch (check(health, timing, busy, now)) {
//   case link_action::send_ping: ...
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/settings/timing.hpp"

#include <chrono>
#include <cstdint>

namespace oleanderhinge::net
{

// Heartbeats and limits of a link. See settings/timing.hpp for the relations.
struct link_timing {
    base::duration busy_heartbeat = std::chrono::milliseconds(250);
    base::duration busy_silence = std::chrono::milliseconds(1000);
    base::duration idle_heartbeat = std::chrono::seconds(5);
    base::duration idle_silence = std::chrono::seconds(12);
    // From the start of the connection to the end of the handshake.
    base::duration handshake = std::chrono::milliseconds(1000);
};

link_timing timing_of(const settings::timing& times);

struct link_health {
    base::time_point last_received;
    // Time of the oldest ping without its pong; meaningful while `waiting`.
    base::time_point waiting_since;
    base::time_point last_ping;
    // Time of the newest message; `unproved` until a later ping is answered.
    base::time_point last_sent;
    bool waiting = false;
    bool unproved = false;
    std::uint64_t next_ping = 1;
    std::uint64_t oldest_ping = 0;
};

enum class link_action : std::uint8_t { none, send_ping, close };

// State of a link that was opened at `now`.
link_health healthy_since(base::time_point now);

void on_received(link_health& health, base::time_point now);
// `number` is the number of the ping that the peer answers.
void on_pong(link_health& health, std::uint64_t number, base::time_point now);
// A message other than ping and pong was sent.
void on_sent(link_health& health, base::time_point now);
// Registers a ping and returns its number.
std::uint64_t on_ping(link_health& health, base::time_point now);

// What to do at `now`. `busy` is true while requests are outstanding.
link_action check(
    const link_health& health,
    const link_timing& timing,
    bool busy,
    base::time_point now);

} // namespace oleanderhinge::net
