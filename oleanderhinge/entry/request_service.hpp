// The requests in progress of an entry node. Passes messages, lost links and
// ticks to their state machines (model_request, service_call) and performs the
// actions that these return.
//
// Requests are sharded by id, and each shard has its own lock. Sending,
// choosing servers and asking the retry budget run without that lock.
//
// Example:
//   request_service requests{links, routes, claims, m, events, self};
//   spec.id = requests.next_id();
//   requests.begin_model(spec, deliveries);
#pragma once

#include "oleanderhinge/entry/agent_links.hpp"
#include "oleanderhinge/entry/delivery_queue.hpp"
#include "oleanderhinge/entry/metrics.hpp"
#include "oleanderhinge/entry/model_request.hpp"
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

// Functions that send claims and outcome reports to control.
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

    // A new request id, unique to this run of this node.
    base::request_id next_id();
    // Starts a request with the id `spec.id`. Its tokens and its end go to
    // `deliveries`.
    void begin_model(
        const model_request_spec& spec,
        std::shared_ptr<delivery_queue> deliveries);
    void begin_call(
        const service_call_spec& spec,
        std::shared_ptr<delivery_queue> deliveries);
    // The caller closed its connection. A model request is closed. A service
    // call continues, since it may already run and its outcome must be
    // recorded.
    void caller_gone(base::request_id id);

    // Handles a message of an agent or of control. False if it has a type that
    // this class does not handle.
    bool dispatch(const wire::message& content);
    // A link to an agent was lost. `was_open` is false if no message can have
    // reached the agent.
    void on_link_lost(const agent_links::lost_link& lost, bool was_open);
    // Checks all time limits. Call it every 50 ms.
    void tick();

    // Queries.

    std::size_t in_progress() const;

private:
    struct live_request {
        std::variant<model_request, service_call> state_machine;
        std::shared_ptr<delivery_queue> deliveries;
        base::time_point accepted;
        base::time_point last_token;
        bool finished = false;
    };

    // Requests whose ids fall into one shard.
    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<base::request_id, live_request> requests;
    };

    struct outgoing_message {
        wire::endpoint agent;
        base::backend_server_id server;
        wire::message content;
    };

    // A load report that came with the answer of a stage.
    struct load_update {
        base::backend_server_id server;
        base::incarnation agent_incarnation;
        wire::load_report load;
    };

    // A server refused work of a rank for overload.
    struct refusal {
        base::backend_server_id server;
        base::rank work_rank = base::rank::standard;
        std::chrono::milliseconds retry_after{0};
    };

    // Arguments of router::may_retry.
    struct retry_parameters {
        base::verdict reason;
        bool idempotent = false;
        base::attempt_number attempt;
        base::duration left{0};
    };

    // What `perform` does after the lock of the shard was released.
    struct effects {
        std::vector<outgoing_message> sends;
        bool choose = false;
        std::optional<retry_parameters> ask_retry;
        std::optional<wire::claim_request> claim;
        std::optional<wire::outcome_report> report;
        std::vector<std::pair<base::backend_server_id, bool>> outcomes;
        std::vector<load_update> loads;
        std::vector<refusal> refusals;
        // Agents whose links the request no longer depends on.
        std::vector<wire::endpoint> detached;
        bool succeeded = false;
    };

    shard& shard_of(const base::request_id& id);

    // Runs `step(state_machine, effects, now)` under the lock of the shard,
    // then performs the returned actions without it. Does nothing if the
    // request has ended or its state machine is not a `StateMachine`.
    template <class StateMachine, class Step>
    void update_request(const base::request_id& id, Step step);
    // Inserts a new request and records it on the timeline.
    void
    add(const base::request_id& id,
        const wire::route& route,
        const base::customer_id& customer,
        live_request live);

    // Messages for model requests.
    void on_message(const wire::attempt_granted& message);
    void on_message(const wire::attempt_refused& message);
    void on_message(const wire::attempt_failed& message);
    void on_message(const wire::token& message);
    // Messages for service calls.
    void on_message(const wire::call_result& message);
    void on_message(const wire::claim_reply& message);
    void on_message(const wire::outcome_ack& message);

    // Translates actions into effects. Deliveries are queued at once, under the
    // lock, so that they keep their order.
    void collect(
        live_request& live,
        model_request& request,
        const model_actions& actions,
        base::time_point now,
        effects& out);
    void collect(
        live_request& live,
        service_call& call,
        const call_actions& actions,
        base::time_point now,
        effects& out);
    // Measures and records a token and queues it for the caller.
    void deliver_token(
        live_request& live,
        const model_request& request,
        const deliver_action& action,
        base::time_point now);
    // Counts and records the end of a request and queues `last`.
    void finish(
        live_request& live,
        const wire::route& route,
        base::request_id id,
        delivery last,
        effects& out);

    void perform(base::request_id id, effects todo, base::time_point now);
    void send(
        base::request_id id,
        const outgoing_message& item,
        base::time_point now);
    void choose(const base::request_id& id, base::time_point now);
    void choose_chain(const model_request& request, base::time_point now);
    void choose_server(const service_call& call, base::time_point now);
    void ask_retry(
        const base::request_id& id,
        const retry_parameters& parameters,
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
