// Slots of the backend server: how many attempts or calls run at a time.
//
// Example:
//   for (auto& o : ask(pool, wanted, now))
//       o.refusal ? refuse(o.key, *o.refusal) : grant(o.key);
#pragma once

#include "oleanderhinge/admission/queue.hpp"
#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace oleanderhinge::agent
{

// An attempt at a request, or a call.
struct slot_key {
    base::request_id request;
    base::attempt_number attempt;

    auto operator<=>(const slot_key&) const = default;
};

struct slot_request {
    slot_key key;
    // False for a stage after the head, which is granted or refused at once.
    bool may_wait = true;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    // Latest useful time of the grant.
    base::time_point deadline = base::time_point::max();
};

// Granted, unless there is a refusal.
struct slot_outcome {
    slot_key key;
    std::optional<base::verdict> refusal;
};

struct slot_options {
    // Fixed limit; 0 lets it adapt to the latency of the steps.
    std::uint32_t limit = 0;
    std::uint32_t max_queued = 256;
};

// A key and the time of its grant.
struct slot_holder {
    slot_key key;
    std::optional<base::time_point> granted_at;
};

// The queue knows each key by a ticket: two attempts at one request may hold
// slots at the same time while the engine still runs a step of the first.
struct slot_pool {
    slot_options options;
    admission::queue queue;
    std::uint64_t next_ticket = 1;
    std::map<slot_key, base::request_id> tickets;
    std::unordered_map<base::request_id, slot_holder> holders;
};

using slot_outcomes = std::vector<slot_outcome>;

// `seed` spreads the times after which refused work may come back.
slot_pool make_slot_pool(const slot_options& options, std::uint64_t seed);

// The engine runs `batch` steps together; an adaptive limit starts there.
void set_batch(slot_pool& pool, std::uint32_t batch);

slot_outcomes set_shares(
    slot_pool& pool, const wire::rank_shares& shares, base::time_point now);

slot_outcomes
ask(slot_pool& pool, const slot_request& wanted, base::time_point now);

// Frees a slot, or leaves the queue. `used` counts prompt and generated tokens
// (1 for a call) and corrects the customer's account; 0 if nothing ran. An
// unknown key changes nothing.
slot_outcomes give_back(
    slot_pool& pool,
    const slot_key& key,
    base::token_count used,
    base::time_point now);

// The head of the chain learned that the first token was generated.
void observe_first_token(
    slot_pool& pool, const slot_key& key, base::time_point now);

// Refuses what can no longer be granted in time.
slot_outcomes expire(slot_pool& pool, base::time_point now);

// One measured step or call.
slot_outcomes
observe(slot_pool& pool, base::duration latency, base::time_point now);

wire::load_report load(const slot_pool& pool);

} // namespace oleanderhinge::agent
