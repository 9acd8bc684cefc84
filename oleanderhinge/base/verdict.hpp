// The verdict on a failed request: whether it may have run.
//
// Every failure that leaves a component carries a verdict. Only `not_run` may
// be retried freely; `may_have_run` must never lead to a second run of a call
// that is not idempotent.
//
// Example:
//   return not_run(failure_code::overloaded, "queue is full", 250ms);
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <cstdint>
#include <string>

namespace oleanderhinge::base
{

// What is known about the execution of a request.
enum class execution : std::uint8_t {
    // No backend server ran any part, and none will.
    not_run,
    // It is unknown whether a backend server ran it.
    may_have_run,
    // A backend server ran it.
    ran,
};

// Reason of a failure. The names are part of the callers' interface.
enum class failure_code : std::uint8_t {
    none,
    invalid_request,
    unauthenticated,
    forbidden,
    unknown_route,
    overloaded,
    deadline_exceeded,
    no_server,
    server_leaving,
    server_failed,
    link_lost,
    fenced,
    not_ready,
    no_quorum,
    conflict,
    duplicate,
    shutting_down,
    internal,
    // Part of the request has crashed servers.
    quarantined,
};

// Verdict with its reason.
struct verdict {
    execution state = execution::not_run;
    failure_code code = failure_code::none;
    // One sentence for the caller; no secrets.
    std::string detail;
    // Time after which a new request may succeed; zero if waiting is useless.
    std::chrono::milliseconds retry_after{0};

    bool operator==(const verdict&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        std::int64_t wait = this->retry_after.count();
        archive(this->state, this->code, this->detail, wait);
        this->retry_after = std::chrono::milliseconds(wait);
    }
};

// A failure before any backend server could run the request.
verdict not_run(
    failure_code code,
    std::string detail,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));

// A failure that leaves open whether the request ran.
verdict may_have_run(failure_code code, std::string detail);

// A failure after the request ran.
verdict ran(failure_code code, std::string detail);

// The less certain of two verdicts on parts of one request: `may_have_run`
// before `ran` before `not_run`.
execution combine(execution left, execution right);

const char* to_string(execution value);
const char* to_string(failure_code value);

// HTTP status for the callers' interface.
unsigned http_status(const verdict& failure);

} // namespace oleanderhinge::base
