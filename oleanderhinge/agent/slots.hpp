// Slots of the backend server: how many attempts or calls run at a time.
//
// Example:
//   for (auto& o : ask(pool, wanted, now))
//       o.refusal ? refuse(o.key, *o.refusal) : grant(o.key);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
    std::uint32_t limit = 8;
    std::uint32_t max_queued = 256;
};

struct slot_pool {
    slot_options options;
    std::set<slot_key> held;
    std::deque<slot_request> waiting;
    double step_us = 0;
};

using slot_outcomes = std::vector<slot_outcome>;

slot_pool make_slot_pool(const slot_options& options);

slot_outcomes
ask(slot_pool& pool, const slot_request& wanted, base::time_point now);

// Frees a slot, or leaves the queue. `generated` corrects the customer's
// account. An unknown key changes nothing.
slot_outcomes give_back(
    slot_pool& pool,
    const slot_key& key,
    base::token_count generated,
    base::time_point now);

// Refuses what can no longer be granted in time.
slot_outcomes expire(slot_pool& pool, base::time_point now);

// One measured step or call.
slot_outcomes
observe(slot_pool& pool, base::duration latency, base::time_point now);

wire::load_report load(const slot_pool& pool);

} // namespace oleanderhinge::agent
