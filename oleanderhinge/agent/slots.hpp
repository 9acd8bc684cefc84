// Slots of the backend server, which limit how many attempts or calls run at a
// time.
//
// A front end of the admission queue (admission/queue.hpp) that identifies work
// by attempt. Not thread-safe; callers have to synchronise. The functions that
// return outcomes also return those of other work that was granted a freed slot
// or was refused.
//
// Example:
//   for (auto& o : submit(pool, request, now))
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

// Identifies an attempt at a request, or a call.
struct slot_key {
    base::request_id request;
    base::attempt_number attempt;

    auto operator<=>(const slot_key&) const = default;
};

struct slot_request {
    slot_key key;
    // If false, the request is granted or refused at once, as at the stages
    // after the head.
    bool may_wait = true;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    // End of the time budget for the first token, or else for the whole
    // request or call.
    base::time_point deadline = base::time_point::max();
};

struct slot_outcome {
    slot_key key;
    // Empty if the slot was granted.
    std::optional<base::verdict> refusal;
};

struct slot_options {
    // Limit of slots in use; with 0, the limit adapts to the measured latency.
    std::uint32_t limit = 0;
    // Largest number of queued requests.
    std::uint32_t max_queued = 256;
};

// An attempt or call that is queued or holds a slot.
struct slot_entry {
    slot_key key;
    // Empty while queued.
    std::optional<base::time_point> granted_at;
};

// The queue identifies each key by a ticket, a request id that is unique in the
// pool. The real request id would not do: two attempts at one request hold
// slots at the same time while the engine still runs a step of the first one.
struct slot_pool {
    slot_options options;
    admission::queue queue;
    std::uint64_t next_ticket = 1;
    std::map<slot_key, base::request_id> tickets;
    std::unordered_map<base::request_id, slot_entry> entries;
};

using slot_outcomes = std::vector<slot_outcome>;

// `seed` is for the jitter of `retry_after` in refusals.
slot_pool make_slot_pool(const slot_options& options, std::uint64_t seed);

// Sets an adaptive limit to the number of steps that the engine runs together,
// within the limit's bounds. Does nothing for 0 or a fixed limit.
void set_batch_size(slot_pool& pool, std::uint32_t batch_size);

// Sets the guaranteed shares of the ranks, from the configuration.
slot_outcomes set_shares(
    slot_pool& pool, const wire::rank_shares& shares, base::time_point now);

// Requests a slot. A key that is already queued or holds a slot is ignored.
slot_outcomes
submit(slot_pool& pool, const slot_request& request, base::time_point now);

// Frees the slot, or leaves the queue if none has been granted. `actual_tokens`
// counts prompt and generated tokens and corrects the accounts of rank and
// customer; it is 1 for a call, and 0 if nothing ran. An unknown key is
// ignored.
slot_outcomes release(
    slot_pool& pool,
    const slot_key& key,
    base::token_count actual_tokens,
    base::time_point now);

// Records, at the head of the chain, the time from the grant to the first token
// of the attempt. A key without a slot is ignored.
void observe_first_token(
    slot_pool& pool, const slot_key& key, base::time_point now);

// Refuses queued requests that can no longer be served in time.
slot_outcomes expire(slot_pool& pool, base::time_point now);

// Adds the measured latency of one step or call; adapts the limit.
slot_outcomes add_latency_sample(
    slot_pool& pool, base::duration latency, base::time_point now);

wire::load_report load(const slot_pool& pool);

} // namespace oleanderhinge::agent
