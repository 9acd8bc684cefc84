#include "tests/harness/desk_service.hpp"

#include <boost/json.hpp>

namespace oleanderhinge::tests
{

namespace json = boost::json;

namespace
{

constexpr std::size_t max_body = std::size_t(4) << 20;

} // namespace

std::string desk_table()
{
    const json::object route{
        {"name", "desk"},
        {"host", "desk.example"},
        {"pathPrefix", "/desk/"},
        {"kind", "safe"},
        {"timeoutMs", 20000},
        {"targetLatencyMs", 150},
        {"priority", 0},
        {"service", "desk"},
        {"attempts", 2},
        {"anonymous", false}};
    const json::object service{
        {"name", "desk"},
        {"healthPath", "/health"},
        {"connectionLimit", 260},
        {"protocol", "h1"},
        {"tls", false}};
    return json::serialize(json::object{
        {"version", 1},
        {"routes", json::array{route}},
        {"services", json::array{service}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", max_body},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}}});
}

std::string desk_report(const std::string& address, std::size_t sequence)
{
    return json::serialize(json::object{
        {"service", "desk"},
        {"address", address},
        {"zone", "a"},
        {"slots", 200},
        {"state", "ready"},
        {"sequence", sequence},
        {"born", desk_started_ms}});
}

} // namespace oleanderhinge::tests
