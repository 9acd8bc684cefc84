// Messages between the processes of the system.
//
// Every message is a plain struct with a cereal `serialize`; `message` is the
// variant of all of them. The position in the variant is the type number on
// the wire: append new messages at the end.
//
// Example:
//   message m = ping{7};
//   std::string frame = encode(m, stamp);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhinge::wire
{

// An IP number and a port. Both the TCP link port and, where noted, the UDP
// port of a process.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->address, this->port);
    }
};

enum class role : std::uint8_t { entry, agent, control };

using nonce = std::array<std::uint8_t, 32>;
using digest = std::array<std::uint8_t, 32>;

// --- Any link -------------------------------------------------------------

// First message on a link, in both directions.
struct hello {
    role sender = role::entry;
    base::vm_id vm;
    base::incarnation sender_incarnation;
    base::region_id region;
    base::data_centre_id data_centre;
    nonce challenge{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->sender, this->vm, this->sender_incarnation);
        archive(this->region, this->data_centre, this->challenge);
    }
};

// Second message: HMAC-SHA256 by the cluster secret over the peer's challenge
// and the sender's own hello.
struct proof {
    digest tag{};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->tag);
    }
};

struct ping {
    std::uint64_t number = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->number);
    }
};

struct pong {
    std::uint64_t number = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->number);
    }
};

// The sender shuts down and takes no new work on this link.
struct go_away {
    template <class Archive>
    void serialize(Archive&)
    {
    }
};

// --- Load -----------------------------------------------------------------

// Load of a backend server as its agent knows it.
struct load_report {
    // Attempts or calls that hold a slot, and the present limit of slots.
    std::uint32_t in_progress = 0;
    std::uint32_t limit = 1;
    // Work that waits in the agent's queue.
    std::uint32_t queued = 0;
    base::token_count queued_tokens;
    // The waiting work by rank, urgent first. Without it, urgent work goes
    // where the whole queue is short and not where its own is.
    std::array<std::uint32_t, base::rank_count> queued_by_rank{};
    // Smoothed time of one step or call, in microseconds.
    std::uint32_t step_us = 0;

    bool operator==(const load_report&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->in_progress, this->limit, this->queued);
        archive(this->queued_tokens, this->queued_by_rank, this->step_us);
    }
};

// --- Model pipeline -------------------------------------------------------

// One stage of a chain.
struct stage {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    endpoint agent;
    base::layer_range layers;

    bool operator==(const stage&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->agent_incarnation, this->agent);
        archive(this->layers);
    }
};

// Entry to agent: reserve a slot for an attempt.
struct open_attempt {
    base::request_id request;
    base::attempt_number attempt;
    base::route_id route;
    base::model_id model;
    std::string version;
    std::string adapter;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    // The whole chain in order, and the position of the receiver.
    std::vector<stage> chain;
    std::uint32_t position = 0;
    // Prompt, for the head and the last stage; tokens that the caller already
    // has, for a resumed request.
    std::string prompt;
    std::vector<std::string> delivered;
    std::uint32_t max_tokens = 0;
    // Time left for the first token and for the whole request, in
    // milliseconds.
    std::uint32_t first_token_budget_ms = 0;
    std::uint32_t budget_ms = 0;
    // Revision of the configuration that the entry node used.
    base::revision config;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->route, this->model);
        archive(this->version, this->adapter, this->customer);
        archive(this->customer_weight, this->work_rank, this->chain);
        archive(this->position, this->prompt, this->delivered);
        archive(this->max_tokens, this->first_token_budget_ms);
        archive(this->budget_ms, this->config);
    }
};

// Agent to entry: the slot is reserved.
struct attempt_granted {
    base::request_id request;
    base::attempt_number attempt;
    std::uint32_t position = 0;
    load_report load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->position, this->load);
    }
};

// Agent to entry: the attempt was refused and no step of it ran here.
struct attempt_refused {
    base::request_id request;
    base::attempt_number attempt;
    std::uint32_t position = 0;
    base::verdict reason;
    load_report load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->position);
        archive(this->reason, this->load);
    }
};

// Entry to the head: all stages granted, begin.
struct start_attempt {
    base::request_id request;
    base::attempt_number attempt;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt);
    }
};

// Agent to agent: run the receiver's layers for one token.
struct layer_step {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index token;
    // First layer that has not run for this token.
    base::layer_index next_layer;
    // Opaque output of the layers before.
    std::string activation;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->token);
        archive(this->next_layer, this->activation);
    }
};

// Agent to agent: the step arrived. A repeat is acknowledged and not run.
struct step_ack {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index token;
    base::layer_index next_layer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->token, this->next_layer);
    }
};

// Last stage to entry: one generated token.
struct token {
    base::request_id request;
    base::attempt_number attempt;
    base::token_index index;
    std::string text;
    // True for the last token of the answer.
    bool last = false;
    // "stop" or "length" when `last`.
    std::string finish_reason;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->index, this->text);
        archive(this->last, this->finish_reason);
    }
};

// Agent to entry: the attempt cannot go on at this stage.
struct attempt_failed {
    base::request_id request;
    base::attempt_number attempt;
    std::uint32_t position = 0;
    base::verdict reason;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->position, this->reason);
    }
};

// Entry to agent: release the slot; no step of this attempt or of a lower one
// runs after the answer.
struct close_attempt {
    base::request_id request;
    base::attempt_number attempt;
    // Tokens generated in total, for the customer's account.
    base::token_count generated;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->generated);
    }
};

// Agent to entry: answer to `close_attempt`.
struct attempt_closed {
    base::request_id request;
    base::attempt_number attempt;
    std::uint32_t position = 0;
    // Whether a step of the attempt ran at this stage.
    base::execution state = base::execution::not_run;
    load_report load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->position, this->state);
        archive(this->load);
    }
};

// --- Plain services -------------------------------------------------------

struct header {
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->name, this->value);
    }
};

// Entry to agent: one call to the plain service beside it.
struct call {
    base::request_id request;
    base::attempt_number attempt;
    base::route_id route;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    std::uint32_t budget_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->route, this->customer);
        archive(this->customer_weight, this->work_rank, this->server);
        archive(this->agent_incarnation, this->method, this->target);
        archive(this->headers, this->body, this->budget_ms);
    }
};

struct response {
    std::uint32_t status = 0;
    std::vector<header> headers;
    std::string body;

    bool operator==(const response&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->status, this->headers, this->body);
    }
};

// Agent to entry. `failure.code` is `none` when `answer` holds the service's
// response.
struct call_result {
    base::request_id request;
    base::attempt_number attempt;
    base::verdict failure;
    response answer;
    load_report load;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt, this->failure, this->answer);
        archive(this->load);
    }
};

// Entry to agent: drop the call if it still waits in the queue, and never run
// it afterwards. Answered by `call_result` with `not_run`, or with what the
// service answers if the call already runs.
struct cancel_call {
    base::request_id request;
    base::attempt_number attempt;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->request, this->attempt);
    }
};

// --- Announcements (UDP) --------------------------------------------------

enum class server_state : std::uint8_t { starting, serving, leaving };

// Agent to entry: identity, state and load of a backend server.
struct announcement {
    base::backend_server_id server;
    base::incarnation agent_incarnation;
    std::uint64_t sequence = 0;
    base::vm_id vm;
    base::region_id region;
    base::data_centre_id data_centre;
    // Link port of the agent.
    endpoint agent;
    server_state state = server_state::starting;
    base::route_kind kind = base::route_kind::model;
    // Model servers.
    base::model_id model;
    std::string version;
    std::vector<std::string> adapters;
    base::layer_range layers;
    std::uint32_t layer_count = 0;
    // Kind of accelerator, for example "a100"; relative speed in percent.
    std::string accelerator;
    std::uint32_t speed_percent = 100;
    // Plain services.
    std::string service;
    load_report load;
    // Highest configuration revision that the agent has heard of, and the
    // number of the last order it carried out.
    base::revision highest_config;
    base::fencing_number applied_order;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->agent_incarnation, this->sequence);
        archive(this->vm, this->region, this->data_centre, this->agent);
        archive(this->state, this->kind, this->model, this->version);
        archive(this->adapters, this->layers, this->layer_count);
        archive(this->accelerator, this->speed_percent, this->service);
        archive(this->load, this->highest_config, this->applied_order);
    }
};

// Entry to agent: answer to an announcement.
struct announcement_ack {
    base::backend_server_id server;
    std::uint64_t sequence = 0;
    base::vm_id entry;
    // Entry nodes of the data centre that the agent should know (UDP).
    std::vector<endpoint> entry_nodes;
    base::revision config;
    // Milliseconds since control confirmed that revision to the sender.
    std::uint32_t config_age_ms = 0;
    // The order for this server, if the configuration has one with a higher
    // number than the agent has carried out.
    std::vector<server_order> order;
    rank_shares shares;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->sequence, this->entry);
        archive(this->entry_nodes, this->config, this->config_age_ms);
        archive(this->order, this->shares);
    }
};

// A backend server that a registrar still hears, in short form.
struct server_heartbeat {
    // Stable hash of the server's name and its agent's incarnation, see
    // membership::heartbeat_key.
    std::uint64_t key = 0;
    // Time since the registrar heard the agent.
    std::uint16_t age_ms = 0;
    // Coarse load, see membership::load_step.
    std::uint8_t load_step = 0;

    bool operator==(const server_heartbeat&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->key, this->age_ms, this->load_step);
    }
};

// Entry to entry (UDP): announcements that changed, passed on by a registrar,
// and the servers that it still hears.
struct directory_update {
    base::vm_id sender;
    std::vector<announcement> changed;
    // Time since the sender heard each of `changed`, in milliseconds; as many
    // elements as `changed`.
    std::vector<std::uint32_t> ages_ms;
    std::vector<server_heartbeat> alive;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->sender, this->changed, this->ages_ms, this->alive);
    }
};

// --- Configuration --------------------------------------------------------

// Entry to control or to another entry: send updates after `have`. Sent again
// on the same link when `below` changes.
struct subscribe {
    base::revision have;
    base::vm_id vm;
    // Where the sender accepts subscribers itself, for redirects.
    endpoint listen;
    // VMs that get their configuration through the sender. A node that finds
    // itself here would close a cycle and refuses.
    std::vector<base::vm_id> below;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->have, this->vm, this->listen, this->below);
    }
};

// The receiver of `subscribe` is full or is not serving; try these.
struct subscribe_redirect {
    std::vector<endpoint> parents;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->parents);
    }
};

// A whole configuration (`from` zero and `full` set) or the changes from
// revision `from` to revision `to`. Each change carries the revision that it
// belongs to.
struct config_update {
    base::revision from;
    base::revision to;
    std::vector<configuration> full;
    std::vector<std::pair<base::revision, change>> changes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->from, this->to, this->full, this->changes);
    }
};

// The configuration at `at` was the newest committed one `age_ms` ago.
struct config_confirm {
    base::revision at;
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->at, this->age_ms);
    }
};

// --- At most once ---------------------------------------------------------

// Entry to control: claim the key before the call is sent.
struct claim_request {
    std::uint64_t correlation = 0;
    base::customer_id customer;
    base::route_id route;
    std::string key;
    digest request_digest{};
    base::request_id request;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->correlation, this->customer, this->route, this->key);
        archive(this->request_digest, this->request);
    }
};

enum class claim_state : std::uint8_t {
    // The caller of `claim_request` owns the call and may send it once.
    granted,
    // Another request owns the key and has no outcome yet.
    in_progress,
    // The outcome is known; see `failure` and `answer`.
    finished,
    // The key was used for a different request.
    digest_mismatch,
    // The key is older than the retention of claims.
    expired,
    // The table of claims is full.
    full,
    // No quorum; nothing was claimed, or it is unknown (see `failure`).
    unavailable,
};

// Control to entry.
struct claim_reply {
    std::uint64_t correlation = 0;
    claim_state state = claim_state::unavailable;
    base::verdict failure;
    response answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->correlation, this->state, this->failure, this->answer);
    }
};

// Entry to control: outcome of a claimed call.
struct outcome_report {
    std::uint64_t correlation = 0;
    base::customer_id customer;
    base::route_id route;
    std::string key;
    base::request_id request;
    // `code` is `none` when `answer` holds the service's response. A `not_run`
    // outcome releases the claim.
    base::verdict failure;
    response answer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->correlation, this->customer, this->route, this->key);
        archive(this->request, this->failure, this->answer);
    }
};

// Control to entry: the outcome is durable, or `stored` is false.
struct outcome_ack {
    std::uint64_t correlation = 0;
    bool stored = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->correlation, this->stored);
    }
};

// --- Replicated log -------------------------------------------------------

// Control to control: a message of the consensus component, in its own
// encoding. `group` allows several logs.
struct consensus_message {
    std::uint32_t group = 0;
    std::string payload;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->group, this->payload);
    }
};

// --- Entry nodes among themselves (UDP) -------------------------------------

// An entry node as others know it.
struct entry_peer {
    base::vm_id vm;
    // UDP endpoint.
    endpoint udp;

    auto operator<=>(const entry_peer&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->vm, this->udp);
    }
};

// Entry to entry of the same data centre: the sender is alive.
struct entry_heartbeat {
    entry_peer self;
    base::incarnation sender_incarnation;
    base::data_centre_id data_centre;
    // The sender shuts down; it must not be chosen as a registrar.
    bool leaving = false;
    // The sender does not know the receiver well: answer at once, with all
    // known entry nodes.
    bool wants_peers = false;
    // The sender got heartbeats of servers that it does not know: send it a
    // full batch.
    bool wants_directory = false;
    // Some or all entry nodes that the sender hears.
    std::vector<entry_peer> known;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->self, this->sender_incarnation, this->data_centre);
        archive(this->leaving, this->wants_peers, this->wants_directory);
        archive(this->known);
    }
};

// Servers of one model version in one data centre.
struct model_total {
    base::model_id model;
    std::string version;
    std::uint32_t servers = 0;
    // Free slots of whole chains: those of the stage with the fewest.
    std::uint32_t free_slots = 0;
    // Layers with the fewest free slots; they bound the throughput.
    base::layer_range worst_stage;

    bool operator==(const model_total&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->model, this->version, this->servers, this->free_slots);
        archive(this->worst_stage);
    }
};

// Entry to entry of another data centre: what the sender's data centre serves.
struct model_summary {
    base::data_centre_id data_centre;
    // Incarnation and counter of the sender, which tell old summaries.
    base::incarnation sender_incarnation;
    std::uint64_t sequence = 0;
    // Set by a receiver that passes it on inside its own data centre.
    bool forwarded = false;
    // Time since the summary was made, in milliseconds; a receiver that passes
    // it on adds its holding time.
    std::uint32_t age_ms = 0;
    std::vector<model_total> models;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->data_centre, this->sender_incarnation, this->sequence);
        archive(this->forwarded, this->age_ms, this->models);
    }
};

// --- Gateways and control -------------------------------------------------

// Control to gateway and to other control nodes: what backend servers last
// said, with the age of each record at the sender.
struct server_batch {
    std::vector<server_record> records;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->records);
    }
};

// Control to gateway and to other control nodes: the numbers that stand for
// servers in `server_refresh` on this link, from `first` on.
struct server_numbers {
    std::uint32_t first = 0;
    std::vector<base::backend_server_id> servers;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->first, this->servers);
    }
};

// Control to gateway and to other control nodes: the servers that have reported
// again without a change, at most `age_ms` ago. Bit n % 8 of byte n / 8 stands
// for the server with the number n.
struct server_refresh {
    std::uint32_t age_ms = 0;
    std::vector<std::uint8_t> reported;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->age_ms, this->reported);
    }
};

// Control to gateway and to other control nodes: states of engines, by the
// numbers of `server_numbers`.
struct server_loads {
    struct item {
        std::uint32_t server = 0;
        float slowness = 1;
        // Share of the cache in use, of 255.
        std::uint8_t cache_use = 0;
        std::uint16_t running = 0;
        std::uint16_t waiting = 0;
        std::uint16_t first_layer = 0;
        std::uint16_t end_layer = 0;

        bool operator==(const item&) const = default;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(this->server, this->slowness, this->cache_use);
            archive(this->running, this->waiting, this->first_layer);
            archive(this->end_layer);
        }
    };
    std::vector<item> items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->items);
    }
};

// Gateway to control, and control to the other gateways: work that depends on
// the server at this address stands still.
struct server_suspicion {
    endpoint server;
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->age_ms);
    }
};

// A backend server crashed while a request waited there for its first event.
struct crash_report {
    // The part of the prompt that only this request or its session has.
    base::prompt_part own;
    // The parts that other requests may have, in the order of the prompt.
    std::vector<base::prompt_part> shared;
    endpoint server;
    std::uint32_t age_ms = 0;

    bool operator==(const crash_report&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->own, this->shared, this->server, this->age_ms);
    }
};

// A backend server has begun an answer on a part of a prompt.
struct answered_part {
    base::prompt_part part;
    std::uint32_t age_ms = 0;

    bool operator==(const answered_part&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->part, this->age_ms);
    }
};

// Between gateways, through control, and between control nodes: for and against
// parts of prompts that may crash backend servers.
struct crash_evidence {
    std::vector<crash_report> crashes;
    std::vector<answered_part> answered;

    bool operator==(const crash_evidence&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->crashes, this->answered);
    }
};

// The requests a second that a backend server takes from all gateways together,
// as it stated in an answer.
struct server_limit {
    base::backend_server_id server;
    // Start of the process that stated it.
    std::uint64_t started_ms = 0;
    // Empty: an answer without a limit, which ends an earlier one.
    std::optional<double> per_second;
    // Age of the answer at the sender.
    std::uint32_t age_ms = 0;

    bool operator==(const server_limit&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->server, this->started_ms, this->per_second);
        archive(this->age_ms);
    }
};

// Gateway to each member of control, on a change and when a link opens; from
// the leader to the other gateways.
struct server_limits {
    std::vector<server_limit> items;

    bool operator==(const server_limits&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->items);
    }
};

// Gateway to each member of control, a few times a second while it knows a
// server with a limit: the requests of callers that it gets.
struct permit_demand {
    struct item {
        std::string service;
        float per_second = 0;

        bool operator==(const item&) const = default;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(this->service, this->per_second);
        }
    };
    std::vector<item> services;

    bool operator==(const permit_demand&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->services);
    }
};

// The leader of control to a gateway: requests that it may send to servers with
// a limit, within `fleet::permit_lifetime`.
struct permit_grant {
    struct item {
        base::backend_server_id server;
        std::uint64_t started_ms = 0;
        std::uint32_t permits = 0;

        bool operator==(const item&) const = default;

        template <class Archive>
        void serialize(Archive& archive)
        {
            archive(this->server, this->started_ms, this->permits);
        }
    };
    std::vector<item> items;

    bool operator==(const permit_grant&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->items);
    }
};

// Control to gateway: link endpoints of all members, to subscribe to each. A
// node without a quorum lists none.
struct control_group {
    std::vector<endpoint> members;
    // Gateways that have a link to the sender, to share budgets.
    std::uint32_t gateways = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->members, this->gateways);
    }
};

// A control node that is no member, or hears no leader, asks to be admitted.
struct join_request {
    base::vm_id vm;
    endpoint link;
    endpoint admin;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(this->vm, this->link, this->admin);
    }
};

using message = std::variant<
    hello,
    proof,
    ping,
    pong,
    go_away,
    open_attempt,
    attempt_granted,
    attempt_refused,
    start_attempt,
    layer_step,
    step_ack,
    token,
    attempt_failed,
    close_attempt,
    attempt_closed,
    call,
    call_result,
    cancel_call,
    announcement,
    announcement_ack,
    directory_update,
    subscribe,
    subscribe_redirect,
    config_update,
    config_confirm,
    claim_request,
    claim_reply,
    outcome_report,
    outcome_ack,
    consensus_message,
    model_summary,
    entry_heartbeat,
    server_batch,
    control_group,
    join_request,
    server_suspicion,
    server_loads,
    server_numbers,
    server_refresh,
    crash_evidence,
    server_limits,
    permit_demand,
    permit_grant>;

} // namespace oleanderhinge::wire
