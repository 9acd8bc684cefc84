// The requests in progress of an entry node: feeds their state machines with
// messages, lost links and ticks, and carries out the actions.
//
// State is held in shards by request id, each under its own lock. Actions that
// leave the shard (sending, choosing, asking the budget) run without it.
//
// Example:
//   request_service requests{links, routes, claims, m, events, self};
//   auto id = requests.begin_model(spec, outbox);
#pragma once

#include "oleanderhinge/entry/agent_links.hpp"
#include "oleanderhinge/entry/metrics.hpp"
#include "oleanderhinge/entry/model_request.hpp"
#include "oleanderhinge/entry/outbox.hpp"
#include "oleanderhinge/entry/router.hpp"
#include "oleanderhinge/entry/service_call.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

namespace oleanderhinge::entry
{

// How claims and outcomes reach control.
struct claim_channel {
    std::function<void(const wire::claim_request&)> claim;
    std::function<void(const wire::outcome_report&)> report;
};

// Thread-safe.
class request_service
{
public:
    request_service(
        agent_links& links,
        router& routes,
        claim_channel claims,
        metrics& counters,
        timeline::recorder& events,
        base::incarnation self);

    // Commands.

    // A new id for a request of this node.
    base::request_id next_id();
    // Starts a request; what happens to it goes to `box`.
    void
    begin_model(const model_request_spec& spec, std::shared_ptr<outbox> box);
    void begin_call(const service_call_spec& spec, std::shared_ptr<outbox> box);
    // The caller is gone; a model request is closed, a call goes on, since it
    // may already run and its outcome must be recorded.
    void caller_gone(base::request_id id);

    // Message of an agent or of control; true if it was of a known type.
    bool dispatch(const wire::message& content);
    void on_link_lost(const agent_links::lost_link& lost, bool was_open);
    // Checks all time limits. Call it every 50 ms.
    void tick();

    // Queries.

    std::size_t in_progress() const;

private:
    struct live_request {
        std::variant<model_request, service_call> machine;
        std::shared_ptr<outbox> box;
        base::time_point accepted;
        base::time_point last_token;
        bool finished = false;
    };

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<base::request_id, live_request> requests;
    };

    struct outgoing {
        wire::endpoint agent;
        base::backend_server_id server;
        wire::message content;
    };

    struct load_note {
        base::backend_server_id server;
        base::incarnation agent_incarnation;
        wire::load_report load;
    };

    // A server refused work of a rank for overload.
    struct refusal_note {
        base::backend_server_id server;
        base::rank work_rank = base::rank::standard;
        std::chrono::milliseconds retry_after{0};
    };

    // What the retry budget has to know.
    struct retry_question {
        base::verdict reason;
        bool idempotent = false;
        base::attempt_number attempt;
        base::duration left{0};
    };

    // What has to be done without the lock.
    struct effects {
        std::vector<outgoing> sends;
        bool choose = false;
        std::optional<retry_question> ask_retry;
        std::optional<wire::claim_request> claim;
        std::optional<wire::outcome_report> report;
        std::vector<std::pair<base::backend_server_id, bool>> outcomes;
        std::vector<load_note> loads;
        std::vector<refusal_note> refusals;
        // Agents that the request no longer depends on.
        std::vector<wire::endpoint> detached;
        bool succeeded = false;
    };

    shard& shard_of(const base::request_id& id);

    // Runs `step(machine, effects, now)` on the machine of type `Machine` under
    // the lock, then carries out the actions that it returned.
    template <class Machine, class Step>
    void with(const base::request_id& id, Step step);
    // Registers a new request and records it.
    void
    add(const base::request_id& id,
        const wire::route& route,
        const base::customer_id& customer,
        live_request live);

    // Messages to model requests.
    void on_message(const wire::attempt_granted& message);
    void on_message(const wire::attempt_refused& message);
    void on_message(const wire::attempt_failed& message);
    void on_message(const wire::token& message);
    // Messages to calls.
    void on_message(const wire::call_result& message);
    void on_message(const wire::claim_reply& message);
    void on_message(const wire::outcome_ack& message);

    // Translates actions into effects; deliveries go to the outbox at once, so
    // that they keep their order.
    void collect(
        live_request& live,
        model_request& request,
        const model_actions& actions,
        base::time_point now,
        effects& to);
    void collect(
        live_request& live,
        service_call& call,
        const call_actions& actions,
        base::time_point now,
        effects& to);
    void deliver_token(
        live_request& live,
        const model_request& request,
        const deliver_action& action,
        base::time_point now);
    void finish(
        live_request& live,
        const wire::route& route,
        base::request_id id,
        delivery last,
        effects& to);

    void perform(base::request_id id, effects todo, base::time_point now);
    void send(base::request_id id, const outgoing& item, base::time_point now);
    void choose(const base::request_id& id, base::time_point now);
    void choose_chain(const model_request& request, base::time_point now);
    void choose_server(const service_call& call, base::time_point now);
    void ask_retry(
        const base::request_id& id,
        const retry_question& question,
        base::time_point now);

    agent_links& links;
    router& routes;
    const claim_channel claims;
    metrics& counters;
    timeline::recorder& events;
    const base::incarnation self;
    std::atomic<std::uint64_t> next_sequence{1};
    std::atomic<std::size_t> live_count{0};
    std::array<shard, 16> shards;
};

} // namespace oleanderhinge::entry
