// Requests to the admission queue of a backend server, and its decisions.
//
// Example:
//   work item{.request = id, .customer = customer_id{"acme"},
//             .prompt_tokens = 300, .max_tokens = 200};
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/base/verdict.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace oleanderhinge::admission
{

// A request that asks for a slot.
struct work {
    base::request_id request;
    base::customer_id customer;
    std::uint32_t customer_weight = 1;
    base::rank work_rank = base::rank::standard;
    // Tokens of the prompt, and the largest number that may be generated. Both
    // are 0 for a call to a plain service.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    // Latest useful time of the first token, or of the start of a call. With
    // the default, only `queue_options::max_wait` limits the wait.
    base::time_point first_token_deadline = base::time_point::max();
};

// The request holds a slot.
struct grant {
    base::request_id request;

    bool operator==(const grant&) const = default;
};

// The request has not run at this server and will not.
struct refuse {
    base::request_id request;
    // Always `not_run`, with `overloaded` or `deadline_exceeded`.
    base::verdict reason;

    bool operator==(const refuse&) const = default;
};

using action = std::variant<grant, refuse>;
using actions = std::vector<action>;

} // namespace oleanderhinge::admission
