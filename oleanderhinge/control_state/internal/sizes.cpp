#include "oleanderhinge/control_state/internal/sizes.hpp"

#include "oleanderhinge/wire/archive.hpp"

namespace oleanderhinge::control_state::internal
{

std::size_t size_of(const plan& item)
{
    return wire::to_bytes(item).size();
}

std::size_t size_of(const wire::response& answer)
{
    std::size_t bytes = sizeof(answer.status) + answer.body.size();
    for (const auto& field : answer.headers)
        bytes += sizeof(field) + field.name.size() + field.value.size();
    return bytes;
}

std::size_t size_of(const claim_key& key, const claim_record& record)
{
    return claim_overhead_bytes + key.customer.value().size() +
           key.route.value().size() + key.key.size() +
           record.failure.detail.size() + size_of(record.answer);
}

} // namespace oleanderhinge::control_state::internal
