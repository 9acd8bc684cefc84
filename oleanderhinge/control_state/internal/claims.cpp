#include "oleanderhinge/control_state/internal/claims.hpp"

#include "oleanderhinge/control_state/internal/sizes.hpp"
#include "oleanderhinge/control_state/queries.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace oleanderhinge::control_state::internal
{

namespace
{

using wire::claim_state;

constexpr std::size_t max_detail_bytes = 512;

claim_result
make_result(claim_state claimed, base::verdict failure, bool repeated = false)
{
    return {claimed, repeated, std::move(failure), {}};
}

// Describes why the key is malformed; empty if it is valid.
std::string key_fault(const claim_key& key)
{
    if (key.key.empty() || key.key.size() > max_key_bytes)
        return "the idempotency key has " + std::to_string(key.key.size()) +
               " bytes, must have 1 to " + std::to_string(max_key_bytes);
    if (key.customer.value().size() > max_text_bytes ||
        key.route.value().size() > max_text_bytes)
        return "customer or route has more than " +
               std::to_string(max_text_bytes) + " bytes";
    return {};
}

// Result for a key that is already claimed.
claim_result result_of_existing(const claim_record& kept, const claim& item)
{
    if (kept.request_digest != item.request_digest)
        return make_result(
            claim_state::digest_mismatch,
            base::not_run(
                base::failure_code::conflict,
                "the idempotency key was used for a different request"));
    if (kept.finished)
        return {claim_state::finished, true, kept.failure, kept.answer};
    if (kept.owner == item.owner)
        return make_result(claim_state::granted, {}, true);
    return make_result(
        claim_state::in_progress,
        base::may_have_run(
            base::failure_code::duplicate,
            "another request with this idempotency key has no outcome yet"));
}

// Refuses a UUIDv7 key that is too old or too far ahead; `granted` if its time
// is acceptable.
claim_result
check_age(const state& from, const claim& item, std::uint64_t key_ms)
{
    const auto oldest = std::max(
        from.claims_after_ms,
        from.clock_ms - std::min(from.clock_ms, item.retention_ms));
    if (key_ms < oldest)
        return make_result(
            claim_state::expired,
            base::may_have_run(
                base::failure_code::duplicate,
                "the idempotency key is older than the retention of claims"));
    // A claim is kept until the time in its key has expired, so a time far
    // ahead would keep it in the table for longer than the retention period.
    if (key_ms > from.clock_ms + max_key_lead_ms)
        return make_result(
            claim_state::expired,
            base::not_run(
                base::failure_code::invalid_request,
                "the time in the idempotency key is " +
                    std::to_string(key_ms - from.clock_ms) +
                    " ms ahead, at most " + std::to_string(max_key_lead_ms) +
                    " ms are allowed"));
    return make_result(claim_state::granted, {});
}

// Stores an outcome in `record`. The answer is left out if it is larger than
// `max_answer_bytes` or would make the claim table larger than its limit.
// `other_claim_bytes` is the size of the table without this claim.
void store_outcome(
    const record_outcome& item,
    std::size_t other_claim_bytes,
    claim_record& record)
{
    record.finished = true;
    record.failure = item.failure;
    record.failure.detail.resize(
        std::min(record.failure.detail.size(), max_detail_bytes));
    record.answer = item.answer;
    const auto answer_size = size_of(item.answer);
    if (answer_size <= max_answer_bytes &&
        other_claim_bytes + size_of(item.key, record) <= item.max_bytes)
        return;
    record.answer = {};
    if (item.failure.code == base::failure_code::none)
        record.failure = base::ran(
            base::failure_code::duplicate,
            "the call ran; its answer of " + std::to_string(answer_size) +
                " bytes was not kept");
}

} // namespace

claim_result apply_claim(state& target, const claim& item)
{
    auto fault = key_fault(item.key);
    if (!fault.empty())
        return make_result(
            claim_state::unavailable,
            base::not_run(
                base::failure_code::invalid_request, std::move(fault)));
    const auto found = target.claims.find(item.key);
    if (found != target.claims.end())
        return result_of_existing(found->second, item);
    const auto key_ms = uuid_v7_ms(item.key.key);
    if (key_ms) {
        auto checked = check_age(target, item, *key_ms);
        if (checked.state != claim_state::granted)
            return checked;
    }
    // The claim must stay until its key is too old to be claimed again, also if
    // the clock that produced the key is ahead.
    claim_record record{
        .owner = item.owner,
        .request_digest = item.request_digest,
        .claimed_ms = std::max(target.clock_ms, key_ms.value_or(0)),
        .finished = false,
        .failure = {},
        .answer = {}};
    const auto size = size_of(item.key, record);
    if (target.claims.size() >= item.max_claims ||
        target.claim_bytes + size > item.max_bytes)
        return make_result(
            claim_state::full,
            base::not_run(
                base::failure_code::overloaded,
                "the table of claims is full with " +
                    std::to_string(target.claims.size()) + " claims"));
    target.claim_bytes += size;
    target.claims.emplace(item.key, std::move(record));
    return make_result(claim_state::granted, {});
}

outcome_result apply_outcome(state& target, const record_outcome& item)
{
    const bool release = item.failure.code != base::failure_code::none &&
                         item.failure.state == base::execution::not_run;
    const auto found = target.claims.find(item.key);
    if (found == target.claims.end())
        return {release, release};
    auto& record = found->second;
    if (record.owner != item.owner)
        return {};
    // A caller may already have received the first outcome, so it is final.
    if (record.finished)
        return {true, true};
    target.claim_bytes -= size_of(item.key, record);
    if (release) {
        target.claims.erase(found);
        return {true, false};
    }
    store_outcome(item, target.claim_bytes, record);
    target.claim_bytes += size_of(item.key, record);
    return {true, false};
}

std::uint64_t expire_claims(state& target, std::uint64_t before_ms)
{
    target.claims_after_ms = std::max(target.claims_after_ms, before_ms);
    return std::erase_if(target.claims, [&](const auto& entry) {
        const bool old = entry.second.claimed_ms < target.claims_after_ms;
        if (old)
            target.claim_bytes -= size_of(entry.first, entry.second);
        return old;
    });
}

} // namespace oleanderhinge::control_state::internal
