// Assembles the tokens of an answer at the entry node.
//
// Tokens may arrive late, doubled, out of order, or from an attempt that was
// given up. Only the next token of the current attempt is delivered.
//
// Example:
//   assembly answer;
//   begin_attempt(answer, attempt_number{1});
//   switch (accept_token(answer, token)) {
//   case token_decision::deliver: ...
#pragma once

#include "oleanderhinge/wire/messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhinge::chain
{

// The tokens that the caller has and the attempt that may add to them.
struct assembly {
    base::attempt_number current;
    std::vector<std::string> delivered;
    bool complete = false;
    std::string finish_reason;
};

enum class token_decision : std::uint8_t {
    // The next token; it was added.
    deliver,
    // The next token and the last one; it was added and the answer is
    // complete.
    complete,
    // A repeat, or a token of an earlier attempt, or behind the end.
    ignore,
    // A token is missing before this one; the attempt must be given up, since
    // the last stage does not keep tokens.
    gap,
};

// Starts an attempt; tokens of lower attempts are ignored from now on.
void begin_attempt(assembly& answer, base::attempt_number attempt);

token_decision accept_token(assembly& answer, const wire::token& item);

// Index of the next token.
base::token_index next_index(const assembly& answer);

} // namespace oleanderhinge::chain
