// Steps of the queue that several of its public functions share.
#pragma once

#include "oleanderhinge/admission/queue.hpp"

#include <string>

namespace oleanderhinge::admission::internal
{

inline std::size_t index_of(base::rank value)
{
    return std::size_t(value);
}

// Cost of a request in generated tokens; at least 1.
double cost_of(const queue& q, const work& item, double generated);

// Estimated cost of a request.
double estimate(const queue& q, const work& item);

// Account that queues and pays for the request: its customer, or one for all
// while fairness is switched off.
base::customer_id account_of(const queue& q, const work& item);

// Least share of a rank in [0, 1].
double share_of(const queue& q, std::size_t rank);

// Predicted wait of a new request in microseconds, before and after its
// correction by measured waits.
double raw_wait_us(const queue& q, const work& item, double cost);
double predicted_wait_us(const queue& q, const work& item, double cost);

// Time to leave between a grant and the first token.
double first_token_us(const queue& q, std::size_t rank);

// A refusal with a spread `retry_after` around `wait_us`.
refuse refusal(
    queue& q,
    const base::request_id& request,
    base::failure_code code,
    std::string detail,
    double wait_us);

// Charges a rank for granted tokens and credits all ranks by their shares. What
// a rank without work does not save up is lent to the charged one, so that the
// sum of the credits stays the same. Negative tokens give back.
void account_tokens(queue& q, std::size_t rank, double tokens);

// Counts a granted (+1) or ended (-1) request.
void count_in_progress(
    queue& q, base::rank work_rank, int change, base::time_point now);

// Grants queued work while slots are free.
void dispatch(queue& q, base::time_point now, actions& out);

} // namespace oleanderhinge::admission::internal
