#include "oleanderhinge/chain/assembly.hpp"

namespace oleanderhinge::chain
{

void begin_attempt(answer_assembly& answer, base::attempt_number attempt)
{
    answer.current_attempt = attempt;
}

base::token_index next_token_index(const answer_assembly& answer)
{
    return base::token_index{std::uint32_t(answer.delivered.size())};
}

token_decision accept_token(answer_assembly& answer, const wire::token& item)
{
    if (answer.complete || item.attempt != answer.current_attempt)
        return token_decision::ignore;
    const auto expected = next_token_index(answer);
    if (item.index < expected)
        return token_decision::ignore;
    if (item.index > expected)
        return token_decision::gap;
    answer.delivered.push_back(item.text);
    if (!item.last)
        return token_decision::deliver;
    answer.complete = true;
    answer.finish_reason = item.finish_reason;
    return token_decision::complete;
}

} // namespace oleanderhinge::chain
