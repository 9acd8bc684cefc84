#include "oleanderhinge/agent/calls.hpp"

#include <utility>

namespace oleanderhinge::agent
{

namespace
{

// State of one call of `advance`.
struct context {
    call_table& table;
    base::time_point now;
    std::vector<call_action> actions;
};

call_record* find(call_table& table, const call_key& key)
{
    const auto found = table.calls.find(key);
    return found == table.calls.end() ? nullptr : &found->second;
}

// Size of the headers and the body, in bytes.
std::size_t response_size(const wire::response& answer)
{
    std::size_t size = answer.body.size();
    for (const auto& h : answer.headers)
        size += h.name.size() + h.value.size();
    return size;
}

void send_failure(
    context& c, const call_key& key, peer_link to, base::verdict reason)
{
    c.actions.emplace_back(
        send_result{to, {key.request, key.attempt, std::move(reason), {}, {}}});
}

void send_recorded_result(
    context& c, const call_key& key, const call_record& record, peer_link to)
{
    auto failure = record.failure;
    if (record.answer_dropped)
        failure = base::ran(
            base::failure_code::duplicate,
            "the call ran before; its answer is no longer kept");
    c.actions.emplace_back(send_result{
        to, {key.request, key.attempt, std::move(failure), record.answer, {}}});
}

void drop_oldest_answers(context& c)
{
    auto& table = c.table;
    while (table.kept_answer_bytes > table.limits.max_answer_bytes) {
        if (auto* oldest = find(table, table.kept_answers.front())) {
            table.kept_answer_bytes -= response_size(oldest->answer);
            oldest->answer = {};
            oldest->answer_dropped = true;
        }
        table.kept_answers.pop_front();
    }
}

void end_call(context& c, const call_key& key, call_record& record)
{
    record.phase = call_phase::ended;
    record.message = {};
    record.remove_at = c.now + c.table.limits.fence_retention;
    c.table.removal_queue.push_back(key);
}

void handle(context& c, const call_received& e)
{
    const auto& m = e.message;
    const call_key key{m.request, m.attempt};
    if (auto* known = find(c.table, key)) {
        // A repeated call is answered with the result of the first delivery.
        known->reply_to = e.from;
        if (known->phase == call_phase::ended)
            send_recorded_result(c, key, *known, e.from);
        return;
    }
    if (m.server != c.table.server ||
        m.agent_incarnation != c.table.agent_incarnation)
        return send_failure(
            c,
            key,
            e.from,
            base::not_run(
                base::failure_code::no_server,
                "the call names another server or an older incarnation"));
    if (c.table.refusal)
        return send_failure(c, key, e.from, *c.table.refusal);
    if (c.table.calls.size() >= c.table.limits.max_calls)
        return send_failure(
            c,
            key,
            e.from,
            base::not_run(
                base::failure_code::overloaded,
                "the table of calls is full",
                std::chrono::milliseconds(1000)));
    auto& record = c.table.calls[key];
    record.attempt = m.attempt;
    record.reply_to = e.from;
    record.expires_at = c.now + std::chrono::milliseconds(m.budget_ms);
    record.message = m;
    c.actions.emplace_back(request_call_slot{
        m.request,
        m.attempt,
        m.customer,
        m.customer_weight,
        m.work_rank,
        m.budget_ms});
}

void handle(context& c, const call_slot_granted& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::queued) {
        // The call ended between the grant of the slot and this event.
        c.actions.emplace_back(release_call_slot{e.request, e.attempt, false});
        return;
    }
    if (record->expires_at <= c.now) {
        record->failure = base::not_run(
            base::failure_code::deadline_exceeded,
            "the time budget of the call is over");
        c.actions.emplace_back(release_call_slot{e.request, e.attempt, false});
        send_recorded_result(c, key, *record, record->reply_to);
        return end_call(c, key, *record);
    }
    record->phase = call_phase::running;
    c.actions.emplace_back(
        run_call{std::move(record->message), record->expires_at - c.now});
}

void handle(context& c, const call_slot_refused& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::queued)
        return;
    record->failure = e.reason;
    send_recorded_result(c, key, *record, record->reply_to);
    end_call(c, key, *record);
}

void handle(context& c, const call_finished& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::running)
        return;
    record->failure = e.failure;
    record->answer = e.answer;
    c.actions.emplace_back(release_call_slot{
        e.request,
        e.attempt,
        e.failure.state != base::execution::not_run ||
            e.failure.code == base::failure_code::none});
    if (record->reply_to != peer_link{})
        send_recorded_result(c, key, *record, record->reply_to);
    end_call(c, key, *record);
    c.table.kept_answers.push_back(key);
    c.table.kept_answer_bytes += response_size(record->answer);
    drop_oldest_answers(c);
}

// Records an unknown call as cancelled, so that it does not run if it arrives
// later.
void cancel_unknown(context& c, const call_key& key, peer_link from)
{
    if (c.table.calls.size() >= c.table.limits.max_calls)
        // Without a record, the call would run if it arrived later.
        return send_failure(
            c,
            key,
            from,
            base::may_have_run(
                base::failure_code::overloaded, "the table of calls is full"));
    auto& record = c.table.calls[key];
    record.attempt = key.attempt;
    record.failure = base::not_run(
        base::failure_code::fenced, "the call was cancelled before it ran");
    send_recorded_result(c, key, record, from);
    end_call(c, key, record);
}

void handle(context& c, const cancel_received& e)
{
    const call_key key{e.message.request, e.message.attempt};
    auto* record = find(c.table, key);
    if (!record)
        return cancel_unknown(c, key, e.from);
    record->reply_to = e.from;
    if (record->phase == call_phase::ended)
        return send_recorded_result(c, key, *record, e.from);
    if (record->phase == call_phase::running)
        return;
    record->failure = base::not_run(
        base::failure_code::fenced, "the call was cancelled before it ran");
    c.actions.emplace_back(release_call_slot{key.request, key.attempt, false});
    send_recorded_result(c, key, *record, e.from);
    end_call(c, key, *record);
}

void handle(context& c, const call_link_closed& e)
{
    std::vector<call_key> queued;
    for (auto& [key, record] : c.table.calls) {
        if (record.reply_to != e.link)
            continue;
        record.reply_to = peer_link{};
        if (record.phase == call_phase::queued)
            queued.push_back(key);
    }
    for (const auto& key : queued) {
        auto& record = c.table.calls.at(key);
        record.failure = base::not_run(
            base::failure_code::link_lost,
            "the link of the call closed before it ran");
        c.actions.emplace_back(
            release_call_slot{key.request, key.attempt, false});
        end_call(c, key, record);
    }
}

void handle(context& c, const call_availability_changed& e)
{
    c.table.refusal = e.refusal;
}

void handle(context& c, const call_ticked&)
{
    auto& table = c.table;
    while (!table.removal_queue.empty()) {
        const auto key = table.removal_queue.front();
        auto* record = find(table, key);
        if (record && record->remove_at > c.now)
            return;
        if (record) {
            table.kept_answer_bytes -= response_size(record->answer);
            table.calls.erase(key);
        }
        table.removal_queue.pop_front();
        if (!table.kept_answers.empty() && table.kept_answers.front() == key)
            table.kept_answers.pop_front();
    }
}

} // namespace

std::vector<call_action>
advance(call_table& table, const call_event& input, base::time_point now)
{
    context c{table, now, {}};
    std::visit([&](const auto& e) { handle(c, e); }, input);
    return std::move(c.actions);
}

std::size_t open_calls(const call_table& table)
{
    return table.calls.size() - table.removal_queue.size();
}

std::set<peer_link> reply_links(const call_table& table)
{
    std::set<peer_link> links;
    for (const auto& [key, record] : table.calls)
        if (record.phase != call_phase::ended)
            links.insert(record.reply_to);
    return links;
}

} // namespace oleanderhinge::agent
