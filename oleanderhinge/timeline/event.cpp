#include "oleanderhinge/timeline/event.hpp"

#include "oleanderhinge/base/time.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <tuple>
#include <utility>

namespace oleanderhinge::timeline
{

namespace
{

constexpr std::array kind_names = {
    "process_started",
    "process_draining",
    "process_stopped",
    "link_opened",
    "link_closed",
    "server_joined",
    "server_changed",
    "server_left",
    "server_ejected",
    "server_restored",
    "config_applied",
    "config_lease_lost",
    "config_lease_regained",
    "plan_created",
    "plan_confirmed",
    "plan_conflict",
    "leader_elected",
    "leader_stepped_down",
    "quorum_lost",
    "member_changed",
    "order_applied",
    "order_refused",
    "claim_granted",
    "claim_finished",
    "request_accepted",
    "request_refused",
    "attempt_opened",
    "attempt_granted",
    "attempt_refused",
    "attempt_started",
    "attempt_failed",
    "attempt_fenced",
    "step_run",
    "step_repeated",
    "token_delivered",
    "call_sent",
    "call_run",
    "request_finished",
    "request_failed",
};
static_assert(
    kind_names.size() == std::size_t(event_kind::request_failed) + 1,
    "every event kind has a name");

} // namespace

const char* to_string(event_kind kind)
{
    return kind_names[std::size_t(kind)];
}

bool earlier(const event& left, const event& right)
{
    return std::tie(left.at, left.vm, left.sequence) <
           std::tie(right.at, right.vm, right.sequence);
}

recorder::recorder(base::vm_id owner, hybrid_clock& source, std::size_t size)
    : vm(std::move(owner))
    , clock(source)
    , capacity(size)
{
    this->ring.reserve(size);
}

void recorder::record(event_kind kind, std::string detail)
{
    this->append(
        {.at = {},
         .vm = this->vm,
         .sequence = 0,
         .kind = kind,
         .request = std::nullopt,
         .detail = std::move(detail)});
}

void recorder::record(
    event_kind kind, base::request_id request, std::string detail)
{
    this->append(
        {.at = {},
         .vm = this->vm,
         .sequence = 0,
         .kind = kind,
         .request = request,
         .detail = std::move(detail)});
}

void recorder::append(event item)
{
    const std::lock_guard lock(this->mutex);
    // The stamp is drawn under the lock, so ring order is stamp order.
    item.at = this->clock.tick(base::wall_clock_us());
    item.sequence = this->recorded;
    if (this->ring.size() < this->capacity)
        this->ring.push_back(std::move(item));
    else
        this->ring[this->recorded % this->capacity] = std::move(item);
    ++this->recorded;
}

std::vector<event> recorder::since(stamp after, std::size_t limit) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<event> found;
    const std::size_t size = this->ring.size();
    const std::size_t oldest =
        size < this->capacity ? 0 : this->recorded % this->capacity;
    for (std::size_t i = 0; i < size && found.size() < limit; ++i) {
        const auto& item = this->ring[(oldest + i) % size];
        if (item.at > after)
            found.push_back(item);
    }
    return found;
}

std::uint64_t recorder::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->recorded - this->ring.size();
}

std::vector<event> merge(std::vector<std::vector<event>> parts)
{
    std::vector<event> all;
    for (auto& part : parts)
        all.insert(
            all.end(),
            std::make_move_iterator(part.begin()),
            std::make_move_iterator(part.end()));
    std::sort(all.begin(), all.end(), earlier);
    return all;
}

std::string to_json(const std::vector<event>& events)
{
    boost::json::array out;
    for (const auto& item : events) {
        boost::json::object object{
            {"stamp", std::to_string(item.at.value())},
            {"vm", item.vm.value()},
            {"sequence", item.sequence},
            {"kind", to_string(item.kind)},
            {"detail", item.detail}};
        if (item.request) {
            std::ostringstream text;
            text << *item.request;
            object["request"] = text.str();
        }
        out.push_back(std::move(object));
    }
    return boost::json::serialize(out);
}

} // namespace oleanderhinge::timeline
