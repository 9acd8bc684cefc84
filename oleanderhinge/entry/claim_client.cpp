#include "oleanderhinge/entry/claim_client.hpp"

#include <utility>

namespace oleanderhinge::entry
{

namespace
{

constexpr unsigned max_redirects = 3;

} // namespace

claim_client::claim_client(
    net::link_table& table, std::vector<wire::endpoint> endpoints)
    : links(table)
    , control(std::move(endpoints))
{
}

void claim_client::send(const wire::message& content)
{
    net::link_id target;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->link) {
            if (this->control.empty())
                return;
            const auto& next =
                this->leader
                    ? *this->leader
                    : this->control[this->next_control % this->control.size()];
            this->link = this->links.connect(next);
            // Calls wait for these replies, so a silent node must be detected
            // soon.
            this->links.set_busy(*this->link, true);
        }
        target = *this->link;
    }
    if (this->links.send(target, content) == net::send_status::closed)
        this->on_closed(target);
}

bool claim_client::on_message(net::link_id from, const wire::message& content)
{
    const std::lock_guard lock(this->mutex);
    if (this->link != from)
        return false;
    if (const auto* hint = std::get_if<wire::subscribe_redirect>(&content)) {
        const bool follow =
            !hint->parents.empty() && ++this->redirects <= max_redirects;
        this->switch_node(
            follow ? std::optional(hint->parents.front()) : std::nullopt);
        return true;
    }
    if (const auto* reply = std::get_if<wire::claim_reply>(&content)) {
        if (reply->state != wire::claim_state::unavailable) {
            this->redirects = 0;
            this->unavailable_replies = 0;
        } else if (++this->unavailable_replies > 1) {
            // A redirect may follow the first `unavailable`.
            this->switch_node(std::nullopt);
        }
    }
    // The reply is still to be dispatched to its call.
    return false;
}

void claim_client::on_closed(net::link_id closed)
{
    const std::lock_guard lock(this->mutex);
    if (this->link != closed)
        return;
    this->link.reset();
    this->leader.reset();
    ++this->next_control;
}

void claim_client::switch_node(std::optional<wire::endpoint> target)
{
    const auto old = std::exchange(this->link, std::nullopt);
    this->unavailable_replies = 0;
    this->leader = std::move(target);
    if (!this->leader)
        ++this->next_control;
    if (old)
        this->links.close(*old);
}

} // namespace oleanderhinge::entry
