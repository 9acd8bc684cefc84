// Cost estimates, wait predictions and dispatch, shared by the public functions
// of the queue.
//
// Example:
//   const double cost = estimate(q, item);
//   const double wait_us = predicted_wait_us(q, item, cost);
#pragma once

#include "oleanderhinge/admission/queue.hpp"

#include <string>

namespace oleanderhinge::admission::internal
{

inline std::size_t index_of(base::rank value)
{
    return std::size_t(value);
}

// Cost of a request with `generated` tokens, in generated tokens; at least 1.
double cost_of(const queue& q, const work& item, double generated);

// Estimated cost of a request, in generated tokens.
double estimate(const queue& q, const work& item);

// Account that the request is queued under and charged to: its customer, or one
// for all customers if fairness is disabled.
base::customer_id account_of(const queue& q, const work& item);

// Guaranteed share of a rank, in [0, 1].
double share_of(const queue& q, std::size_t rank);

// Predicted wait of a new request in microseconds, without and with the
// correction by measured waits.
double raw_wait_us(const queue& q, const work& item, double cost);
double predicted_wait_us(const queue& q, const work& item, double cost);

// Expected time from a grant to the first token, in microseconds.
double first_token_us(const queue& q, std::size_t rank);

// A refusal whose `retry_after` is `wait_us` within the bounds of the options,
// plus up to as much again at random.
refuse refusal(
    queue& q,
    const base::request_id& request,
    base::failure_code code,
    std::string detail,
    double wait_us);

// Charges a rank for granted tokens and credits all ranks by their shares. A
// rank without queued requests accumulates only a small credit; what exceeds it
// goes to the charged rank, so that the sum of the credits stays the same.
// Negative tokens refund a charge.
void account_tokens(queue& q, std::size_t rank, double tokens);

// Adds `change` to the requests in progress: +1 for a grant, -1 for an end.
void count_in_progress(
    queue& q, base::rank work_rank, int change, base::time_point now);

// Grants queued requests while slots are free, and refuses those that would
// miss their deadline.
void dispatch(queue& q, base::time_point now, actions& out);

} // namespace oleanderhinge::admission::internal
