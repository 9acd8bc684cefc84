// Finds the part of a prompt, or the request, that crashes backend servers, and
// quarantines the requests that have it.
//
// Pattern: one part of a prompt, or one request that comes again and again,
// crashes each server that begins an answer on it. Every crash also ends the
// other requests of the server, and such requests end servers faster than these
// restart.
//
// A request as a whole is treated as one more part, which its repetitions
// share: `whole_request` gives it as a prompt of its own, in which each attempt
// counts as a different request.
//
// When a server crashes, each request that waited there for its first event is
// suspected, and so are the parts that it shares with others. An answer that
// has begun on a part, anywhere, clears that part. A part under which several
// requests have crashed several servers is quarantined. If it turns out to be
// harmless, the requests that were sent before the quarantine clear it;
// otherwise the first request after the quarantine decides.
//
// Each process keeps its own copy, so that no leader is needed. Gateways send
// what is new to every member of control, which relays it to the other gateways
// and members; what comes from a member is relayed to gateways only, so that no
// message returns. Times travel as ages.
//
// Example:
//   // a gateway whose request lost its server
//   publish(note_crash(q, prompt, server, now));
//   publish(note_crash(q, whole_request(key, attempt), server, now));
//   // a gateway that has received what another one published
//   answer(apply(q, evidence, now).reply);
//   // before each attempt
//   if (const auto end = quarantined_until(q, prompt, now)) refuse(*end);
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oleanderhinge::fleet
{

// Crashes of servers under different requests with the same part, without an
// answer on that part: from the first number on, such a request is not repeated
// after a crash, and from the second one on, the part is quarantined.
inline constexpr std::size_t suspicion_crashes = 2;
inline constexpr std::size_t quarantine_crashes = 3;
// A quarantine ends this long after the last crash. One more crash renews it.
inline constexpr base::duration quarantine_time = std::chrono::minutes(5);
// Crashes are remembered for this long, so that those before a quarantine still
// count after it.
inline constexpr base::duration crash_memory = 2 * quarantine_time;
// A crash is not attributed to a part on which an answer began at most this
// long before. Servers also crash for other reasons, many of them at once.
// Requests that lose the same server within this time have seen one crash.
inline constexpr base::duration clearance_time = std::chrono::seconds(2);

// Limits on memory. Parts that are not quarantined are dropped first, and of
// these the one whose last crash is the oldest. Of a longer prompt, the last
// shared parts count.
inline constexpr std::size_t max_suspects = 512;
inline constexpr std::size_t max_crashes_per_part = 8;
inline constexpr std::size_t max_shared_parts = 16;
inline constexpr std::size_t max_answered_parts = 4096;

// The parts of a request's prompt.
struct prompt {
    // The part that only this request or its session has.
    base::prompt_part own;
    // The parts that other requests may have, in the order of the prompt.
    std::vector<base::prompt_part> shared;
};

// The request as a whole. `key` is the same for all that ask for the same, and
// `attempt` differs with each time that a server gets it.
inline prompt whole_request(base::prompt_part key, base::prompt_part attempt)
{
    return {attempt, {key}};
}

struct crash_quarantine {
    struct crash {
        base::time_point at;
        wire::endpoint server;
        // Position of the suspected part among the shared ones.
        std::uint32_t position = 0;
    };
    // By the own part of the request, so that a request that is repeated counts
    // once.
    using crashes = std::map<base::prompt_part, crash>;
    // By the shared part that is suspected.
    std::map<base::prompt_part, crashes> suspects;
    // When answers last began, by part, since `rotated` and in the same time
    // before it.
    std::map<base::prompt_part, base::time_point> answered;
    std::map<base::prompt_part, base::time_point> answered_before;
    base::time_point rotated;
};

// --- Commands. What they return is to be sent to the other processes; empty if
// there is nothing new.

// An answer to the request has begun.
wire::crash_evidence
note_answer(crash_quarantine& q, const prompt& request, base::time_point now);

// The server of the request crashed before its first event.
wire::crash_evidence note_crash(
    crash_quarantine& q,
    const prompt& request,
    const wire::endpoint& server,
    base::time_point now);

struct evidence_effect {
    // What was new.
    wire::crash_evidence relay;
    // What contradicts the received evidence, for the sender.
    wire::crash_evidence reply;
};

// Applies what another process has sent.
evidence_effect apply(
    crash_quarantine& q,
    const wire::crash_evidence& received,
    base::time_point now);

// Drops crashes after `crash_memory`.
void expire(crash_quarantine& q, base::time_point now);

// --- Queries.

// The latest end of the quarantines of the parts; empty if none is in force.
std::optional<base::time_point> quarantined_until(
    const crash_quarantine& q, const prompt& request, base::time_point now);

// Whether a request may be sent again after its server crashed. False if
// servers have crashed under at least `suspicion_crashes` requests with one of
// the parts, this one included, so that another attempt is likely to crash one
// more.
bool may_repeat_after_crash(const crash_quarantine& q, const prompt& request);

// Whether there is any crash to weigh, so that it is worth identifying
// requests.
inline bool has_suspects(const crash_quarantine& q)
{
    return !q.suspects.empty();
}

// Number of quarantines in force.
std::size_t quarantined_parts(const crash_quarantine& q, base::time_point now);

// All crashes, for a process that has connected.
wire::crash_evidence
all_crashes(const crash_quarantine& q, base::time_point now);

inline bool is_empty(const wire::crash_evidence& evidence)
{
    return evidence.crashes.empty() && evidence.answered.empty();
}

} // namespace oleanderhinge::fleet
