#include "oleanderhinge/agent/calls.hpp"

#include <utility>

namespace oleanderhinge::agent
{

namespace
{

struct context {
    call_table& table;
    base::time_point now;
    std::vector<call_action> out;
};

call_record* find(call_table& table, const call_key& key)
{
    const auto found = table.calls.find(key);
    return found == table.calls.end() ? nullptr : &found->second;
}

std::size_t size_of(const wire::response& answer)
{
    std::size_t size = answer.body.size();
    for (const auto& h : answer.headers)
        size += h.name.size() + h.value.size();
    return size;
}

void answer_not_run(
    context& c, const call_key& key, peer_link to, base::verdict reason)
{
    c.out.emplace_back(
        send_result{to, {key.request, key.attempt, std::move(reason), {}, {}}});
}

void send_recorded(
    context& c, const call_key& key, const call_record& record, peer_link to)
{
    auto failure = record.failure;
    if (record.answer_dropped)
        failure = base::ran(
            base::failure_code::duplicate,
            "the call ran before; its answer is no longer kept");
    c.out.emplace_back(send_result{
        to, {key.request, key.attempt, std::move(failure), record.answer, {}}});
}

void drop_old_answers(context& c)
{
    auto& table = c.table;
    while (table.answer_bytes > table.limits.max_answer_bytes) {
        if (auto* oldest = find(table, table.answers.front())) {
            table.answer_bytes -= size_of(oldest->answer);
            oldest->answer = {};
            oldest->answer_dropped = true;
        }
        table.answers.pop_front();
    }
}

void end(context& c, const call_key& key, call_record& record)
{
    record.phase = call_phase::ended;
    record.message = {};
    record.forget_at = c.now + c.table.limits.fence_time;
    c.table.ended.push_back(key);
}

void on(context& c, const call_received& e)
{
    const auto& m = e.message;
    const call_key key{m.request, m.attempt};
    if (auto* known = find(c.table, key)) {
        // A repeat: the one run answers it.
        known->reply_to = e.from;
        if (known->phase == call_phase::ended)
            send_recorded(c, key, *known, e.from);
        return;
    }
    if (m.server != c.table.server ||
        m.agent_incarnation != c.table.agent_incarnation)
        return answer_not_run(
            c,
            key,
            e.from,
            base::not_run(
                base::failure_code::no_server,
                "the call names another server or an older incarnation"));
    if (c.table.refusal)
        return answer_not_run(c, key, e.from, *c.table.refusal);
    if (c.table.calls.size() >= c.table.limits.max_calls)
        return answer_not_run(
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
    c.out.emplace_back(request_call_slot{
        m.request,
        m.attempt,
        m.customer,
        m.customer_weight,
        m.work_rank,
        m.budget_ms});
}

void on(context& c, const call_slot_granted& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::queued) {
        // Cancelled while its grant was on the way.
        c.out.emplace_back(release_call_slot{e.request, e.attempt, false});
        return;
    }
    if (record->expires_at <= c.now) {
        record->failure = base::not_run(
            base::failure_code::deadline_exceeded,
            "the time budget of the call is over");
        c.out.emplace_back(release_call_slot{e.request, e.attempt, false});
        send_recorded(c, key, *record, record->reply_to);
        return end(c, key, *record);
    }
    record->phase = call_phase::running;
    c.out.emplace_back(
        run_call{std::move(record->message), record->expires_at - c.now});
}

void on(context& c, const call_slot_refused& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::queued)
        return;
    record->failure = e.reason;
    send_recorded(c, key, *record, record->reply_to);
    end(c, key, *record);
}

void on(context& c, const call_finished& e)
{
    const call_key key{e.request, e.attempt};
    auto* record = find(c.table, key);
    if (!record || record->phase != call_phase::running)
        return;
    record->failure = e.failure;
    record->answer = e.answer;
    c.out.emplace_back(release_call_slot{
        e.request,
        e.attempt,
        e.failure.state != base::execution::not_run ||
            e.failure.code == base::failure_code::none});
    if (record->reply_to != peer_link{})
        send_recorded(c, key, *record, record->reply_to);
    end(c, key, *record);
    c.table.answers.push_back(key);
    c.table.answer_bytes += size_of(record->answer);
    drop_old_answers(c);
}

// Fences a call that has not arrived, so that it never runs.
void cancel_unknown(context& c, const call_key& key, peer_link from)
{
    if (c.table.calls.size() >= c.table.limits.max_calls)
        // Without a record nothing can be promised about a late call.
        return answer_not_run(
            c,
            key,
            from,
            base::may_have_run(
                base::failure_code::overloaded, "the table of calls is full"));
    auto& record = c.table.calls[key];
    record.attempt = key.attempt;
    record.failure = base::not_run(
        base::failure_code::fenced, "the call was cancelled before it ran");
    send_recorded(c, key, record, from);
    end(c, key, record);
}

void on(context& c, const cancel_received& e)
{
    const call_key key{e.message.request, e.message.attempt};
    auto* record = find(c.table, key);
    if (!record)
        return cancel_unknown(c, key, e.from);
    record->reply_to = e.from;
    if (record->phase == call_phase::ended)
        return send_recorded(c, key, *record, e.from);
    if (record->phase == call_phase::running)
        return;
    record->failure = base::not_run(
        base::failure_code::fenced, "the call was cancelled before it ran");
    c.out.emplace_back(release_call_slot{key.request, key.attempt, false});
    send_recorded(c, key, *record, e.from);
    end(c, key, *record);
}

void on(context& c, const call_link_closed& e)
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
        c.out.emplace_back(release_call_slot{key.request, key.attempt, false});
        end(c, key, record);
    }
}

void on(context& c, const call_intake_changed& e)
{
    c.table.refusal = e.refusal;
}

void on(context& c, const call_ticked&)
{
    auto& table = c.table;
    while (!table.ended.empty()) {
        const auto key = table.ended.front();
        auto* record = find(table, key);
        if (record && record->forget_at > c.now)
            return;
        if (record) {
            table.answer_bytes -= size_of(record->answer);
            table.calls.erase(key);
        }
        table.ended.pop_front();
        if (!table.answers.empty() && table.answers.front() == key)
            table.answers.pop_front();
    }
}

} // namespace

std::vector<call_action>
advance(call_table& table, const call_event& what, base::time_point now)
{
    context c{table, now, {}};
    std::visit([&](const auto& e) { on(c, e); }, what);
    return std::move(c.out);
}

std::size_t open_calls(const call_table& table)
{
    return table.calls.size() - table.ended.size();
}

std::set<peer_link> waiting_links(const call_table& table)
{
    std::set<peer_link> links;
    for (const auto& [key, record] : table.calls)
        if (record.phase != call_phase::ended)
            links.insert(record.reply_to);
    return links;
}

} // namespace oleanderhinge::agent
