#include "oleanderhinge/gateway/headers.hpp"

#include <boost/algorithm/string/join.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <set>

namespace oleanderhinge::gateway
{

namespace http = boost::beast::http;

namespace
{

std::set<std::string>
values_of(const http_fields& fields, std::string_view name)
{
    std::set<std::string> values;
    const auto [begin, end] = fields.equal_range(name);
    for (auto found = begin; found != end; ++found)
        values.emplace(found->value());
    return values;
}

} // namespace

void remove_connection_fields(http_fields& fields)
{
    std::vector<std::string> named;
    for (const auto& name : http::token_list(fields[http::field::connection]))
        named.emplace_back(name);
    for (const auto& name : named)
        fields.erase(name);
    constexpr std::array always{
        http::field::connection,
        http::field::keep_alive,
        http::field::proxy_connection,
        http::field::proxy_authenticate,
        http::field::proxy_authorization,
        http::field::te,
        http::field::trailer,
        http::field::transfer_encoding,
        http::field::upgrade};
    for (const auto name : always)
        fields.erase(name);
}

std::vector<wire::header> end_to_end_fields(const http_fields& fields)
{
    http_fields copy = fields;
    remove_connection_fields(copy);
    copy.erase(http::field::content_length);
    std::vector<wire::header> kept;
    for (const auto& field : copy)
        kept.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    return kept;
}

std::string joined_values(const http_fields& fields, http::field name)
{
    std::string joined;
    const auto [begin, end] = fields.equal_range(name);
    for (auto found = begin; found != end; ++found)
        joined += (found == begin ? "" : ", ") + std::string(found->value());
    return joined;
}

std::string distinct_values(const http_fields& fields, std::string_view name)
{
    return boost::algorithm::join(values_of(fields, name), ", ");
}

server_mark read_mark(const http_fields& fields, std::string_view name)
{
    const auto values = values_of(fields, name);
    if (values.size() > 1)
        return server_mark::ambiguous;
    return values.empty() || values.begin()->empty() ? server_mark::absent
                                                     : server_mark::present;
}

wire::header make_retry_after(std::chrono::milliseconds time)
{
    const auto hundredths = (time.count() + 9) / 10;
    auto decimals = std::to_string(hundredths % 100);
    decimals.insert(0, 2 - decimals.size(), '0');
    return {"Retry-After", std::to_string(hundredths / 100) + '.' + decimals};
}

} // namespace oleanderhinge::gateway
