// The routing view and the retry budget of an entry node behind locks.
//
// Example:
//   router routes{place, seed};
//   routes.put(announcement, expires, now);
//   auto chain = routes.choose_chain(route, avoid, prompt, now);
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/random.hpp"
#include "oleanderhinge/retry/budget.hpp"
#include "oleanderhinge/routing/choose.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <mutex>
#include <set>
#include <string>

namespace oleanderhinge::entry
{

// Where this entry node is.
struct place {
    base::region_id region;
    base::data_centre_id data_centre;
};

// Thread-safe.
class router
{
public:
    router(place here, std::uint64_t seed, base::time_point now);

    // Commands.

    void
    put(const wire::announcement& message,
        base::time_point expires,
        base::time_point now);
    void remove(const base::backend_server_id& server);
    void update_load(
        const base::backend_server_id& server,
        base::incarnation agent_incarnation,
        const wire::load_report& load,
        base::time_point now);
    void sent(const base::backend_server_id& server, base::time_point now);
    void ended(const base::backend_server_id& server);
    void outcome(
        const base::backend_server_id& server,
        bool success,
        base::time_point now);
    // The server refused work of the rank for overload.
    void refused(
        const base::backend_server_id& server,
        base::rank work_rank,
        std::chrono::milliseconds retry_after,
        base::time_point now);
    void request_succeeded();

    // Chooses with the view's random source, which is why they are commands.
    base::result<std::vector<wire::stage>> choose_chain(
        const wire::route& route,
        const std::set<base::backend_server_id>& avoid,
        const std::string& prompt,
        base::time_point now);
    base::result<routing::server_choice> choose_server(
        const wire::route& route,
        const std::set<base::backend_server_id>& avoid,
        base::time_point now);
    retry::retry_decision may_retry(
        const base::verdict& failure,
        bool idempotent,
        base::attempt_number attempt,
        base::duration remaining,
        base::time_point now);

private:
    const place here;
    std::mutex view_mutex;
    routing::view view;
    base::random_source view_random;
    std::mutex budget_mutex;
    retry::budget budget;
    base::random_source budget_random;
};

} // namespace oleanderhinge::entry
