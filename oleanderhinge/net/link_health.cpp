#include "oleanderhinge/net/link_health.hpp"

namespace oleanderhinge::net
{

link_timing timing_of(const settings::timing& times)
{
    return {
        times.link_busy_heartbeat,
        times.link_busy_silence,
        times.link_idle_heartbeat,
        times.link_idle_silence,
        times.link_handshake};
}

link_health healthy_since(base::time_point now)
{
    link_health health;
    health.last_received = now;
    health.last_ping = now;
    return health;
}

void on_received(link_health& health, base::time_point now)
{
    health.last_received = now;
}

void on_pong(link_health& health, std::uint64_t number, base::time_point now)
{
    health.last_received = now;
    if (!health.waiting || number < health.oldest_ping ||
        number >= health.next_ping)
        return;
    health.waiting = false;
    // Messages sent after that ping are not proved by its pong.
    if (number + 1 == health.next_ping && health.last_sent <= health.last_ping)
        health.unproved = false;
}

void on_sent(link_health& health, base::time_point now)
{
    // Keeps the newest send only: a pong proves it if its ping came later.
    health.last_sent = now;
    health.unproved = true;
}

std::uint64_t on_ping(link_health& health, base::time_point now)
{
    if (!health.waiting) {
        health.waiting = true;
        health.waiting_since = now;
        health.oldest_ping = health.next_ping;
    }
    health.last_ping = now;
    return health.next_ping++;
}

link_action check(
    const link_health& health,
    const link_timing& timing,
    bool busy,
    base::time_point now)
{
    const auto heartbeat = busy ? timing.busy_heartbeat : timing.idle_heartbeat;
    const auto silence = busy ? timing.busy_silence : timing.idle_silence;
    if (now - health.last_received >= silence)
        return link_action::close;
    if (health.waiting && now - health.waiting_since >= silence)
        return link_action::close;
    if (now - health.last_ping < heartbeat)
        return link_action::none;
    const bool quiet = now - health.last_received >= heartbeat;
    return quiet || health.waiting || health.unproved ? link_action::send_ping
                                                      : link_action::none;
}

} // namespace oleanderhinge::net
