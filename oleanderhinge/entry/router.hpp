// Chooses backend servers for the requests of an entry node and decides on
// their retries. Adds a lock each to the routing view (routing/view.hpp) and
// the retry budget (retry/budget.hpp).
//
// Example:
//   router routes{place, seed, now};
//   routes.put(announcement, expires, now);
//   auto chain = routes.choose_chain(route, excluded, prompt, now);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/entry/model_request.hpp"
#include "oleanderhinge/retry/budget.hpp"
#include "oleanderhinge/routing/choose.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <mutex>
#include <set>
#include <string>

namespace oleanderhinge::entry
{

// Location of this entry node; closer servers are preferred.
struct place {
    base::region_id region;
    base::data_centre_id data_centre;
};

// Thread-safe.
class router
{
public:
    // `seed` makes the choices and the retry delays repeatable.
    router(place here, std::uint64_t seed, base::time_point now);

    // Commands. Those that name an unknown server change nothing.

    // Adds or replaces the server of an announcement. It expires at `expires`.
    void
    put(const wire::announcement& message,
        base::time_point expires,
        base::time_point now);
    void remove(const base::backend_server_id& server);
    // Takes over a load report; ignored if the agent has another incarnation.
    void update_load(
        const base::backend_server_id& server,
        base::incarnation agent_incarnation,
        const wire::load_report& load,
        base::time_point now);
    // A model attempt or a call was sent to the server.
    void
    record_sent(const base::backend_server_id& server, base::time_point now);
    // A request to the server has ended and no longer counts as its load.
    void record_ended(const base::backend_server_id& server);
    // The server completed or failed a request; input to its ejection.
    void record_outcome(
        const base::backend_server_id& server,
        bool success,
        base::time_point now);
    // The server refused work of the rank for overload. It is chosen less for
    // this rank until `retry_after` has passed.
    void record_refusal(
        const base::backend_server_id& server,
        base::rank work_rank,
        std::chrono::milliseconds retry_after,
        base::time_point now);
    // Adds to the retry budget, which grows by a share of the successes.
    void record_request_success();

    // These choices advance a random source or the retry budget, which makes
    // them commands.

    // Chooses a server for each stage so that the stages cover all layers of
    // the route's model, without the excluded servers. Assumes that the
    // chosen servers will cache the prompt. Fails with `unavailable` if no
    // chain of usable servers covers the model.
    base::result<std::vector<wire::stage>> choose_chain(
        const wire::route& route,
        const chain_exclusions& excluded,
        const std::string& prompt,
        base::time_point now);
    // Chooses a server of the route's service that is not in `avoid`. Fails
    // with `unavailable` if no usable server offers it.
    base::result<routing::server_choice> choose_server(
        const wire::route& route,
        const std::set<base::backend_server_id>& avoid,
        base::time_point now);
    // Decides on another attempt after the failure of attempt `attempt`, which
    // counts from 1. Takes one retry from the budget if it allows one.
    // `remaining` is the time left for the request.
    retry::retry_decision may_retry(
        const base::verdict& failure,
        bool idempotent,
        base::attempt_number attempt,
        base::duration remaining,
        base::time_point now);

private:
    const place here;
    std::mutex view_mutex;
    routing::server_view view;
    base::random_source view_random;
    std::mutex budget_mutex;
    retry::budget budget;
    base::random_source budget_random;
};

} // namespace oleanderhinge::entry
