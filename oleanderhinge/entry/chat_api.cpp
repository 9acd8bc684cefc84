#include "oleanderhinge/entry/chat_api.hpp"

#include "oleanderhinge/net/http_server.hpp"

#include <boost/json.hpp>

namespace oleanderhinge::entry
{

namespace json = boost::json;

namespace
{

base::error_id invalid(std::string detail)
{
    return base::fail(base::error_code::malformed, std::move(detail));
}

base::result<std::string> parse_prompt(const json::object& body)
{
    const auto* messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() ||
        messages->get_array().empty())
        return invalid("field messages must be a list with at least one item");
    std::string prompt;
    for (const auto& item : messages->get_array()) {
        const auto* object = item.if_object();
        const auto* role = object ? object->if_contains("role") : nullptr;
        const auto* content = object ? object->if_contains("content") : nullptr;
        if (role == nullptr || !role->is_string() || content == nullptr ||
            !content->is_string())
            return invalid(
                "each item of messages needs the strings role and content");
        prompt += role->get_string().c_str();
        prompt += ": ";
        prompt += content->get_string().c_str();
        prompt += '\n';
    }
    return prompt;
}

base::result<std::uint32_t> parse_max_tokens(const json::object& body)
{
    const auto* field = body.if_contains("max_tokens");
    if (field == nullptr)
        return default_max_tokens;
    const auto value = field->is_int64() ? field->get_int64() : std::int64_t(0);
    if (value < 1 || value > std::int64_t(largest_max_tokens))
        return invalid(
            "field max_tokens is " + json::serialize(*field) +
            ", allowed is an integer from 1 to " +
            std::to_string(largest_max_tokens));
    return std::uint32_t(value);
}

base::result<bool> parse_stream(const json::object& body)
{
    const auto* field = body.if_contains("stream");
    if (field == nullptr)
        return false;
    if (!field->is_bool())
        return invalid("field stream must be true or false");
    return field->get_bool();
}

json::object chunk_object(
    const std::string& id, const base::route_id& route, const char* kind)
{
    return {
        {"id", "chatcmpl-" + id}, {"object", kind}, {"model", route.value()}};
}

json::value finish_reason_value(const std::string& reason)
{
    return reason.empty() ? json::value(nullptr) : json::value(reason);
}

std::string server_sent_event(std::string_view data)
{
    std::string text = "data: ";
    text += data;
    text += "\n\n";
    return text;
}

} // namespace

base::result<chat_request> parse_chat(std::string_view body)
{
    boost::system::error_code failed;
    const auto value = json::parse(body, failed);
    if (failed)
        return invalid("body is not JSON: " + failed.message());
    const auto* object = value.if_object();
    if (object == nullptr)
        return invalid("body must be a JSON object");
    const auto* model = object->if_contains("model");
    if (model == nullptr || !model->is_string())
        return invalid("field model must be a string that names a route");
    chat_request request;
    request.route = base::route_id{model->get_string().c_str()};
    BOOST_LEAF_ASSIGN(request.prompt, parse_prompt(*object));
    BOOST_LEAF_ASSIGN(request.max_tokens, parse_max_tokens(*object));
    BOOST_LEAF_ASSIGN(request.stream, parse_stream(*object));
    return request;
}

std::string chat_answer(
    const std::string& id,
    const base::route_id& route,
    const std::string& text,
    const std::string& finish_reason,
    std::size_t prompt_bytes,
    std::size_t completion_tokens)
{
    auto body = chunk_object(id, route, "chat.completion");
    body["choices"] = json::array{json::object{
        {"index", 0},
        {"message", {{"role", "assistant"}, {"content", text}}},
        {"finish_reason", finish_reason_value(finish_reason)}}};
    body["usage"] = json::object{
        {"prompt_bytes", prompt_bytes},
        {"completion_tokens", completion_tokens}};
    return json::serialize(body);
}

std::string chat_chunk(
    const std::string& id,
    const base::route_id& route,
    const std::string& text,
    const std::string& finish_reason)
{
    auto body = chunk_object(id, route, "chat.completion.chunk");
    json::object delta;
    if (!text.empty())
        delta["content"] = text;
    body["choices"] = json::array{json::object{
        {"index", 0},
        {"delta", std::move(delta)},
        {"finish_reason", finish_reason_value(finish_reason)}}};
    return server_sent_event(json::serialize(body));
}

std::string_view stream_end()
{
    return "data: [DONE]\n\n";
}

std::string stream_error(const base::verdict& failure)
{
    return "event: error\n" + server_sent_event(net::problem_json(failure));
}

std::string model_list(const std::vector<base::route_id>& routes)
{
    json::array items;
    for (const auto& route : routes)
        items.push_back(
            json::object{{"id", route.value()}, {"object", "model"}});
    return json::serialize(
        json::object{{"object", "list"}, {"data", std::move(items)}});
}

} // namespace oleanderhinge::entry
