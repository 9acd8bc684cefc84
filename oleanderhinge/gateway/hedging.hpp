// Whether, when and where a second attempt at a request, a hedge, is made
// beside the first, so that one slow server does not delay the answer. Only
// requests that may be repeated are hedged.
//
// The first attempt gets the time that the slowest answers of its route exceed,
// or less if a later hedge would miss the target. Nothing is hedged while the
// servers are slow together, since more work would slow them further.
// Source: Dean and Barroso, "The Tail at Scale", 2013.
//
// Example:
//   note_attempt_started(times, data_centre, started);
//   if (const auto wait = hedge_delay(times, terms, now)) ... after it:
//       auto to = choose_hedge_server(selector, service, tried,
//                                     slow_data_centres(times, terms, now),
//                                     random, now);
//       if (to.server && take_hedge(limit, retries, now) == ...) send();
//   note_attempt_ended(times, terms, data_centre, started, now);
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"
#include "oleanderhinge/retry/shared_budget.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleanderhinge::gateway
{

// Half-life of the usual times. Routes with one request in ten seconds at a
// gateway keep `least_answers`.
inline constexpr base::duration usual_half_life = std::chrono::minutes(2);
// Half-life of the present share of slow attempts.
inline constexpr base::duration present_half_life = std::chrono::seconds(2);
// Answers from which times are estimated; with fewer, the target alone counts.
inline constexpr double least_answers = 10;
// Present attempts in a data centre by which it is judged.
inline constexpr double least_present_attempts = 3;
// Share of what the retry budget may hold that is left for failures.
inline constexpr double retry_reserve = 0.5;
// A server with a higher failure rate gets no hedges.
inline constexpr double max_hedge_failure_rate = 0.5;

// The times of the attempts at the requests of one route.
struct answer_times {
    // Decayed numbers of attempts by their time, as of `updated`; the limits of
    // the buckets grow by `bucket_factor` each.
    std::array<double, 96> counts{};
    base::time_point updated;
    struct present_attempts {
        double slow = 0;
        double all = 0;
        base::time_point updated;
    };
    // Decayed numbers of recent attempts.
    std::map<base::data_centre_id, present_attempts> present;
    // Starts of the attempts in progress.
    std::map<base::data_centre_id, std::multiset<base::time_point>> running;
};

struct hedge_terms {
    // Time for an answer that is on time, from the start of the attempt; zero
    // or less: none.
    base::duration target{0};
    // Share of the attempts that are answered before a hedge would be made.
    double quantile = 0.95;
};

void note_attempt_started(
    answer_times& times,
    const base::data_centre_id& data_centre,
    base::time_point started);

// The attempt was answered, or cancelled because another one was.
void note_attempt_ended(
    answer_times& times,
    const hedge_terms& terms,
    const base::data_centre_id& data_centre,
    base::time_point started,
    base::time_point ended);

// The attempt failed: its time says nothing about that of an answer.
void note_attempt_failed(
    answer_times& times,
    const base::data_centre_id& data_centre,
    base::time_point started);

// The time within which this share of the attempts was answered. Empty if fewer
// than `least_answers` were.
std::optional<base::duration>
answer_time(const answer_times& times, double quantile, base::time_point now);

// Time from the start of the first attempt to that of a hedge. Empty if neither
// the route has a target nor enough answers are known.
std::optional<base::duration> hedge_delay(
    const answer_times& times, const hedge_terms& terms, base::time_point now);

// The data centres in which most present attempts take longer than
// `hedge_delay`.
std::set<base::data_centre_id> slow_data_centres(
    const answer_times& times, const hedge_terms& terms, base::time_point now);

// Why no hedge is made.
enum class hedge_refusal : std::uint8_t {
    none,
    // The route allows no further attempt.
    attempts,
    // No attempt may begin; see `forwarder::attempt_verdict`.
    not_allowed,
    // A hedge would probably not be answered before the deadline.
    no_time,
    // No server accepts requests but those that have the request.
    no_server,
    // All other servers are in data centres that are slow as a whole.
    slow_together,
    // The limit on hedges is reached.
    limit,
    // What is left of the retry budget is needed for failures.
    reserve,
};

// Value of a metric label.
const char* to_string(hedge_refusal value);

struct hedge_target {
    std::optional<chosen_server> server;
    hedge_refusal refusal = hedge_refusal::none;
};

// The cheapest server that is neither in `tried` nor ejected, and of which less
// than `max_hedge_failure_rate` of the requests fail.
hedge_target choose_hedge_server(
    const server_selector& selector,
    const std::string& service,
    const std::set<wire::endpoint>& tried,
    const std::set<base::data_centre_id>& slow,
    base::random_source& random,
    base::time_point now);

// Takes a hedge from its own limit and from the retry budget, of which the
// reserve is left.
hedge_refusal take_hedge(
    retry::shared_budget& limit,
    retry::shared_budget& retries,
    base::time_point now);

// The quantile at which the hedges make up the share that the operator allows.
double hedge_quantile(const retry::shared_budget_options& limit);

inline bool allows_hedges(const retry::shared_budget_options& limit)
{
    return limit.request_share > 0 || limit.slack > 0;
}

} // namespace oleanderhinge::gateway
