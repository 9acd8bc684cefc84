#include "oleanderhinge/entry/router.hpp"

#include <utility>

namespace oleanderhinge::entry
{

router::router(place at, std::uint64_t seed, base::time_point now)
    : here(std::move(at))
    , view_random(seed)
    , budget(retry::make_budget({}, now))
    , budget_random(seed + 1)
{
}

void router::put(
    const wire::announcement& message,
    base::time_point expires,
    base::time_point now)
{
    const std::lock_guard lock(this->view_mutex);
    routing::put_server(
        this->view, routing::to_server_info(message, expires), now);
}

void router::remove(const base::backend_server_id& server)
{
    const std::lock_guard lock(this->view_mutex);
    routing::remove_server(this->view, server);
}

void router::update_load(
    const base::backend_server_id& server,
    base::incarnation agent_incarnation,
    const wire::load_report& load,
    base::time_point now)
{
    const std::lock_guard lock(this->view_mutex);
    routing::update_load(this->view, server, agent_incarnation, load, now);
}

void router::record_sent(
    const base::backend_server_id& server, base::time_point now)
{
    const std::lock_guard lock(this->view_mutex);
    routing::note_sent(this->view, server, now);
}

void router::record_ended(const base::backend_server_id& server)
{
    const std::lock_guard lock(this->view_mutex);
    routing::note_ended(this->view, server);
}

void router::record_outcome(
    const base::backend_server_id& server, bool success, base::time_point now)
{
    const std::lock_guard lock(this->view_mutex);
    if (success)
        routing::note_success(this->view, server, now);
    else
        routing::note_failure(this->view, server, now);
}

void router::record_refusal(
    const base::backend_server_id& server,
    base::rank work_rank,
    std::chrono::milliseconds retry_after,
    base::time_point now)
{
    const std::lock_guard lock(this->view_mutex);
    routing::note_refused(this->view, server, work_rank, retry_after, now);
}

void router::record_request_success()
{
    const std::lock_guard lock(this->budget_mutex);
    retry::note_success(this->budget);
}

base::result<std::vector<wire::stage>> router::choose_chain(
    const wire::route& route,
    const chain_exclusions& excluded,
    const std::string& prompt,
    base::time_point now)
{
    routing::chain_query query;
    query.model = route.model;
    query.version = route.version;
    query.adapter = route.adapter;
    query.layer_count = route.layer_count;
    query.work_rank = route.work_rank;
    query.data_centre = this->here.data_centre;
    query.region = this->here.region;
    query.avoid.assign(excluded.avoid.begin(), excluded.avoid.end());
    query.last_resort.assign(
        excluded.last_resort.begin(), excluded.last_resort.end());
    query.prefixes = routing::prefix_hashes(prompt);
    const std::lock_guard lock(this->view_mutex);
    BOOST_LEAF_AUTO(
        chosen,
        routing::choose_chain(this->view, query, this->view_random, now));
    for (const auto& stage : chosen.stages)
        routing::note_prompt(this->view.prefixes, stage.server, query.prefixes);
    return std::move(chosen.stages);
}

base::result<routing::server_choice> router::choose_server(
    const wire::route& route,
    const std::set<base::backend_server_id>& avoid,
    base::time_point now)
{
    routing::service_query query;
    query.service = route.service;
    query.work_rank = route.work_rank;
    query.data_centre = this->here.data_centre;
    query.region = this->here.region;
    query.avoid.assign(avoid.begin(), avoid.end());
    const std::lock_guard lock(this->view_mutex);
    return routing::choose_server(this->view, query, this->view_random, now);
}

retry::retry_decision router::may_retry(
    const base::verdict& failure,
    bool idempotent,
    base::attempt_number attempt,
    base::duration remaining,
    base::time_point now)
{
    const std::lock_guard lock(this->budget_mutex);
    return retry::may_retry(
        this->budget,
        failure,
        idempotent,
        attempt,
        remaining,
        this->budget_random,
        now);
}

} // namespace oleanderhinge::entry
