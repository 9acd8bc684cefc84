#include "oleanderhinge/net/second_answer.hpp"

#include <algorithm>
#include <string>

namespace oleanderhinge::net
{

namespace
{

// Each 'd' stands for a digit.
constexpr std::string_view status_line = "HTTP/d.d ddd";
constexpr auto first_part = status_line.substr(0, min_status_line_bytes);

bool matches(char actual, char expected)
{
    return expected == 'd' ? actual >= '0' && actual <= '9'
                           : actual == expected;
}

bool holds_status_line(std::string_view text)
{
    const auto at = find_status_line(text);
    return at != text.npos && text.size() - at >= status_line.size();
}

} // namespace

std::size_t find_status_line(std::string_view text)
{
    for (auto at = text.find(first_part); at != text.npos;
         at = text.find(first_part, at + 1)) {
        const auto found = text.substr(at, status_line.size());
        if (std::equal(
                found.begin(), found.end(), status_line.begin(), matches))
            return at;
    }
    return text.npos;
}

bool holds_second_answer(const boost::beast::http::response_header<>& head)
{
    return holds_status_line(head.reason()) ||
           std::ranges::any_of(head, [](const auto& field) {
               return holds_status_line(field.value());
           });
}

bool holds_second_answer(
    std::string_view body,
    bool ends_with_connection,
    std::string_view following)
{
    if (!ends_with_connection && following.empty())
        return false;
    const auto text = std::string(body).append(following);
    return find_status_line(text) < body.size();
}

} // namespace oleanderhinge::net
