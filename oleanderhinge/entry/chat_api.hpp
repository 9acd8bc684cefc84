// Parses requests of the chat completion API and formats its answers, in the
// JSON and server-sent events that clients of language models expect.
//
// Example:
//   BOOST_LEAF_AUTO(chat, parse_chat(body));
//   std::string event = chat_chunk(id, chat.route, "Check", "");
#pragma once

#include "oleanderhinge/base/error.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/configuration.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::entry
{

inline constexpr std::uint32_t default_max_tokens = 256;
inline constexpr std::uint32_t largest_max_tokens = 4096;

struct chat_request {
    // From the field "model".
    base::route_id route;
    // One line "role: content" for each message.
    std::string prompt;
    std::uint32_t max_tokens = default_max_tokens;
    bool stream = false;
};

// Parses the body of POST /v1/chat/completions. Fails with `malformed`; the
// detail names the field and what is allowed, or why the body is no JSON
// object.
base::result<chat_request> parse_chat(std::string_view body);

// Body of the answer to a request without `stream`.
std::string chat_answer(
    const std::string& id,
    const base::route_id& route,
    const std::string& text,
    const std::string& finish_reason,
    std::size_t prompt_bytes,
    std::size_t completion_tokens);

// One server-sent event of a stream. `finish_reason` is empty in all but the
// last one.
std::string chat_chunk(
    const std::string& id,
    const base::route_id& route,
    const std::string& text,
    const std::string& finish_reason);

// The event that ends a complete stream.
std::string_view stream_end();

// The event that ends a stream whose request failed after its first token.
std::string stream_error(const base::verdict& failure);

// Body of GET /v1/models: the model routes that the customer may use.
std::string model_list(const std::vector<base::route_id>& routes);

} // namespace oleanderhinge::entry
