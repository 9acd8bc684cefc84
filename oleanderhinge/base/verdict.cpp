#include "oleanderhinge/base/verdict.hpp"

#include <utility>

namespace oleanderhinge::base
{

verdict not_run(
    failure_code code,
    std::string detail,
    std::chrono::milliseconds retry_after)
{
    return verdict{execution::not_run, code, std::move(detail), retry_after};
}

verdict may_have_run(failure_code code, std::string detail)
{
    return verdict{execution::may_have_run, code, std::move(detail), {}};
}

verdict ran(failure_code code, std::string detail)
{
    return verdict{execution::ran, code, std::move(detail), {}};
}

execution combine(execution left, execution right)
{
    if (left == execution::may_have_run || right == execution::may_have_run)
        return execution::may_have_run;
    if (left == execution::ran || right == execution::ran)
        return execution::ran;
    return execution::not_run;
}

const char* to_string(execution value)
{
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::may_have_run:
        return "may_have_run";
    case execution::ran:
        return "ran";
    }
    return "unknown";
}

const char* to_string(failure_code value)
{
    switch (value) {
    case failure_code::none:
        return "none";
    case failure_code::invalid_request:
        return "invalid_request";
    case failure_code::unauthenticated:
        return "unauthenticated";
    case failure_code::forbidden:
        return "forbidden";
    case failure_code::unknown_route:
        return "unknown_route";
    case failure_code::overloaded:
        return "overloaded";
    case failure_code::deadline_exceeded:
        return "deadline_exceeded";
    case failure_code::no_server:
        return "no_server";
    case failure_code::server_leaving:
        return "server_leaving";
    case failure_code::server_failed:
        return "server_failed";
    case failure_code::link_lost:
        return "link_lost";
    case failure_code::fenced:
        return "fenced";
    case failure_code::not_ready:
        return "not_ready";
    case failure_code::no_quorum:
        return "no_quorum";
    case failure_code::conflict:
        return "conflict";
    case failure_code::duplicate:
        return "duplicate";
    case failure_code::shutting_down:
        return "shutting_down";
    case failure_code::internal:
        return "internal";
    case failure_code::quarantined:
        return "quarantined";
    }
    return "unknown";
}

unsigned http_status(const verdict& failure)
{
    switch (failure.code) {
    case failure_code::invalid_request:
        return 400;
    case failure_code::unauthenticated:
        return 401;
    case failure_code::forbidden:
        return 403;
    case failure_code::unknown_route:
        return 404;
    case failure_code::conflict:
    case failure_code::duplicate:
        return 409;
    case failure_code::overloaded:
        return 429;
    case failure_code::none:
    case failure_code::internal:
        return 500;
    case failure_code::server_failed:
    case failure_code::link_lost:
    case failure_code::fenced:
        return 502;
    case failure_code::deadline_exceeded:
        return 504;
    default:
        return 503;
    }
}

} // namespace oleanderhinge::base
