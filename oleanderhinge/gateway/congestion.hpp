// Expected waits for first events, and the limits above which requests are
// refused instead of waiting.
//
// Pattern: a data centre gets more requests than its chain serves. If all of
// them wait, each first event comes after its caller has left, the work is
// lost, and the queue stays as long after the load has fallen. Each gateway
// sees few requests, so that none of them may be waiting at a given first
// server when it chooses one. The waits that it has seen are therefore
// remembered for a while, for all first servers of a data centre together,
// since their requests pass the same later servers.
//
// Example:
//   note_first_event(seen, data_centre, wait, now);
//   if (expected_wait(seen, data_centre, now) > wait_limit(priority, target))
//       refuse();
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"

#include <cstdint>
#include <map>

namespace oleanderhinge::gateway
{

// Weight of a new wait in the average.
inline constexpr double wait_weight = 0.3;
// Half-life of the average without new waits. Requests are tried again after a
// few of them.
inline constexpr base::duration wait_half_life = std::chrono::seconds(1);

struct wait_average {
    double ms = 0;
    base::time_point updated;
};

// Waits for first events, by the data centre of the first server.
struct congestion {
    std::map<base::data_centre_id, wait_average> waits;
};

// Notes the wait for a first event, or for as long as the request has waited
// when it was given up.
void note_first_event(
    congestion& seen,
    const base::data_centre_id& data_centre,
    base::duration wait,
    base::time_point now);

// Zero for a data centre without recent waits.
base::duration expected_wait(
    const congestion& seen,
    const base::data_centre_id& data_centre,
    base::time_point now);

// Admission limit by priority (0 is the most urgent): a request that would wait
// longer is refused at once, so that those before it are on time. Less urgent
// requests are refused first, whatever their own target, so that the most
// urgent ones find a short queue. `target` is the shortest one of all requests
// for the service. Without a target, the limit keeps callers from waiting until
// they leave, after 2 s.
base::duration
wait_limit(std::uint32_t priority, base::duration target = base::duration(0));

} // namespace oleanderhinge::gateway
