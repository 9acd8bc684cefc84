// Assembles the tokens of an answer at the entry node.
//
// Tokens may arrive late, repeated, out of order, or from an abandoned attempt.
// Only the next token of the current attempt is delivered.
//
// Example:
//   answer_assembly answer;
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

// The tokens delivered to the caller, and the attempt that may add to them.
struct answer_assembly {
    base::attempt_number current_attempt;
    std::vector<std::string> delivered;
    bool complete = false;
    std::string finish_reason;
};

enum class token_decision : std::uint8_t {
    // The next token; it was added.
    deliver,
    // The next and last token; it was added, and the answer is complete.
    complete,
    // A repeat, a token of another attempt, or a token after the last one.
    ignore,
    // A token before this one is missing. The attempt has to be abandoned,
    // since
    // the last stage does not keep tokens to send them again.
    gap,
};

// Makes the attempt the current one; tokens of all others are ignored from now
// on.
void begin_attempt(answer_assembly& answer, base::attempt_number attempt);

// Adds the token if it is the next one of the current attempt.
token_decision accept_token(answer_assembly& answer, const wire::token& item);

// Index of the next token to deliver.
base::token_index next_token_index(const answer_assembly& answer);

} // namespace oleanderhinge::chain
