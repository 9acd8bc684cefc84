#include "oleanderhinge/control/internal/service_impl.hpp"

namespace oleanderhinge::control
{

using timeline::event_kind;

namespace
{

// Name of a recorded outcome in the time line: "answered", or the execution
// state of the failure.
const char* outcome_name(const wire::outcome_report& report)
{
    return report.failure.code == base::failure_code::none
               ? "answered"
               : base::to_string(report.failure.state);
}

} // namespace

void service::impl::on_claim(
    net::link_id link, const wire::claim_request& request)
{
    this->consensus.log->propose(
        control_state::encode(
            to_command(request, this->options.claims, this->options.wall_ms())),
        [this, link, request](const replica::propose_result& result) {
            const auto reply = to_reply(request.correlation, result);
            this->numbers.count_claim(reply.state);
            if (reply.state == wire::claim_state::granted)
                this->events.record(
                    event_kind::claim_granted,
                    request.request,
                    "route " + request.route.value());
            this->links.send(link, reply);
            this->redirect_unless_leader(link, result.state);
        });
}

void service::impl::on_outcome(
    net::link_id link, const wire::outcome_report& report)
{
    const auto done = [this,
                       link,
                       correlation = report.correlation,
                       request = report.request,
                       outcome = outcome_name(report)](
                          const replica::propose_result& result) {
        const auto ack = to_ack(correlation, result);
        if (ack.stored) {
            this->numbers.outcomes_stored.Increment();
            this->events.record(event_kind::claim_finished, request, outcome);
        } else {
            this->numbers.outcomes_refused.Increment();
        }
        this->links.send(link, ack);
        this->redirect_unless_leader(link, result.state);
    };
    this->consensus.log->propose(
        control_state::encode(to_command(report, this->options.claims)), done);
}

void service::impl::redirect_unless_leader(
    net::link_id link, replica::propose_state result)
{
    if (result != replica::propose_state::not_leader)
        return;
    const auto status = this->consensus.log->status();
    for (const auto& item : status.members)
        if (item.vm == status.leader && item.vm != this->self)
            this->links.send(link, wire::subscribe_redirect{{item.link}});
}

} // namespace oleanderhinge::control
