#include "oleanderhinge/control/claim_messages.hpp"

#include <variant>

namespace oleanderhinge::control
{

namespace
{

using replica::propose_state;

// Decodes the reply of type `Reply`; returns `Reply{}` if the log returned
// anything else.
template <class Reply>
Reply reply_of(const replica::propose_result& result)
{
    return base::handle(
        [&]() -> base::result<Reply> {
            BOOST_LEAF_AUTO(decoded, control_state::decode_reply(result.reply));
            if (const auto* found = std::get_if<Reply>(&decoded))
                return *found;
            return Reply{};
        },
        [](const base::error&) { return Reply{}; });
}

base::verdict unavailable(propose_state state)
{
    switch (state) {
    case propose_state::not_leader:
        return base::not_run(
            base::failure_code::no_quorum,
            "this control node is not the leader");
    case propose_state::unknown:
        return base::may_have_run(
            base::failure_code::no_quorum,
            "leadership was lost; it is unknown whether the claim is recorded");
    default:
        return base::not_run(
            base::failure_code::no_quorum, "control has no quorum");
    }
}

} // namespace

control_state::command to_command(
    const wire::claim_request& request,
    const claim_limits& limits,
    std::uint64_t now_ms)
{
    return control_state::claim{
        .key = {request.customer, request.route, request.key},
        .request_digest = request.request_digest,
        .owner = request.request,
        .now_ms = now_ms,
        .retention_ms = limits.retention_ms,
        .max_claims = limits.max_claims,
        .max_bytes = limits.max_bytes};
}

control_state::command
to_command(const wire::outcome_report& report, const claim_limits& limits)
{
    return control_state::record_outcome{
        .key = {report.customer, report.route, report.key},
        .owner = report.request,
        .failure = report.failure,
        .answer = report.answer,
        .max_bytes = limits.max_bytes};
}

wire::claim_reply
to_reply(std::uint64_t correlation, const replica::propose_result& result)
{
    if (result.state != propose_state::applied)
        return {
            correlation,
            wire::claim_state::unavailable,
            unavailable(result.state),
            {}};
    auto reply = reply_of<control_state::claim_result>(result);
    return {
        correlation,
        reply.state,
        std::move(reply.failure),
        std::move(reply.answer)};
}

wire::outcome_ack
to_ack(std::uint64_t correlation, const replica::propose_result& result)
{
    return {
        correlation,
        result.state == propose_state::applied &&
            reply_of<control_state::outcome_result>(result).stored};
}

} // namespace oleanderhinge::control
