// Guards against answers with missing, repeated or reordered tokens.
#include "oleanderhinge/chain/assembly.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oleanderhinge::chain
{
namespace
{

wire::token
make_token(std::uint32_t attempt, std::uint32_t index, bool last = false)
{
    wire::token t;
    t.attempt = base::attempt_number{attempt};
    t.index = base::token_index{index};
    t.text = std::to_string(index);
    t.last = last;
    t.finish_reason = last ? "stop" : "";
    return t;
}

TEST(assembly, faults_of_single_tokens)
{
    struct row {
        const char* fault;
        wire::token item;
        token_decision expected;
    };
    const row rows[] = {
        {"next token", make_token(2, 1), token_decision::deliver},
        {"last token", make_token(2, 1, true), token_decision::complete},
        {"repeat", make_token(2, 0), token_decision::ignore},
        {"earlier attempt", make_token(1, 1), token_decision::ignore},
        {"attempt not begun", make_token(3, 1), token_decision::ignore},
        {"token lost before", make_token(2, 2), token_decision::gap},
    };
    for (const auto& r : rows) {
        answer_assembly answer;
        begin_attempt(answer, base::attempt_number{2});
        accept_token(answer, make_token(2, 0));
        EXPECT_EQ(accept_token(answer, r.item), r.expected) << r.fault;
    }
}

TEST(assembly, nothing_follows_the_end)
{
    answer_assembly answer;
    begin_attempt(answer, base::attempt_number{1});
    accept_token(answer, make_token(1, 0, true));
    EXPECT_EQ(accept_token(answer, make_token(1, 1)), token_decision::ignore);
}

// For any tokens in any order, the delivered ones are 0, 1, 2, ...
RC_GTEST_PROP(assembly, delivered_tokens_are_a_prefix, ())
{
    const auto arrivals =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            rc::gen::pair(rc::gen::inRange(1U, 4U), rc::gen::inRange(0U, 6U)));
    answer_assembly answer;
    for (const auto& [attempt, index] : arrivals) {
        if (attempt > answer.current_attempt.value())
            begin_attempt(answer, base::attempt_number{attempt});
        accept_token(answer, make_token(attempt, index, index == 5));
    }
    for (std::size_t i = 0; i < answer.delivered.size(); ++i)
        RC_ASSERT(answer.delivered[i] == std::to_string(i));
    RC_ASSERT(answer.complete == (answer.delivered.size() == 6));
}

} // namespace
} // namespace oleanderhinge::chain
