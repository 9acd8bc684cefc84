// Events of the time line and the ring that keeps the last ones.
//
// Example:
//   recorder events{base::vm_id{"entry-1"}, clock, 4096};
//   events.record(event_kind::request_accepted, request, "route diagnose");
//   auto page = events.since(stamp{0}, 100);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/timeline/hybrid_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhinge::timeline
{

enum class event_kind : std::uint8_t {
    process_started,
    process_draining,
    process_stopped,
    link_opened,
    link_closed,
    server_joined,
    server_changed,
    server_left,
    server_ejected,
    server_restored,
    config_applied,
    config_lease_lost,
    config_lease_regained,
    plan_created,
    plan_confirmed,
    plan_conflict,
    leader_elected,
    leader_stepped_down,
    quorum_lost,
    member_changed,
    order_applied,
    order_refused,
    claim_granted,
    claim_finished,
    request_accepted,
    request_refused,
    attempt_opened,
    attempt_granted,
    attempt_refused,
    attempt_started,
    attempt_failed,
    attempt_fenced,
    step_run,
    step_repeated,
    token_delivered,
    call_sent,
    call_run,
    request_finished,
    request_failed,
};

const char* to_string(event_kind kind);

// One event. `sequence` counts the events of one process and breaks ties.
struct event {
    stamp at;
    base::vm_id vm;
    std::uint64_t sequence = 0;
    event_kind kind = event_kind::process_started;
    std::optional<base::request_id> request;
    // Short text such as "attempt 2 token 17 layers 0-8".
    std::string detail;
};

// True if `left` sorts before `right` in the merged time line.
bool earlier(const event& left, const event& right);

// Keeps the last `capacity` events of a process. Thread-safe.
class recorder
{
public:
    recorder(base::vm_id vm, hybrid_clock& clock, std::size_t capacity);

    void record(event_kind kind, std::string detail);
    void record(event_kind kind, base::request_id request, std::string detail);

    // At most `limit` events with a stamp above `after`, oldest first.
    std::vector<event> since(stamp after, std::size_t limit) const;

    // Events that the ring has dropped.
    std::uint64_t dropped() const;

private:
    void append(event item);

    const base::vm_id vm;
    hybrid_clock& clock;
    const std::size_t capacity;
    mutable std::mutex mutex;
    std::vector<event> ring;
    std::uint64_t recorded = 0;
};

// Merges the events of several processes into one time line.
std::vector<event> merge(std::vector<std::vector<event>> parts);

// JSON array of events: {"stamp", "vm", "sequence", "kind", "request",
// "detail"}. Stamps are strings, since JSON numbers lose 64-bit precision.
std::string to_json(const std::vector<event>& events);

} // namespace oleanderhinge::timeline
