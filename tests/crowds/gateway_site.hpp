// A gateway with a control node and one backend server, whose answer depends on
// the path of the request.
//
// Example:
//   gateway_site site(64);
//   ASSERT_TRUE(site.start());
//   EXPECT_TRUE(site.serves());
#pragma once

#include "tests/harness/gateway_fleet.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace oleanderhinge::tests
{

class gateway_site : public gateway_fleet
{
public:
    // Status of all answers of the server, which the gateway passes on without
    // a mark of the server.
    static constexpr unsigned server_status = 410;
    static constexpr const char* short_answer = "/desk/short";
    // An answer of 3 MB.
    static constexpr const char* large_answer = "/desk/large";
    static constexpr const char* endless_answer = "/desk/endless";

    // `memory_mb`: the setting gateway.memory.
    explicit gateway_site(unsigned memory_mb);
    // Returns whether the gateway has an answer of the server.
    bool start(std::size_t descriptors = 1024);
    // Whether an ordinary request is answered by the server.
    bool serves(const std::string& body = "hello") const;
    // A request up to the body, whose length or coding the field states.
    static std::string
    head(const std::string& framing, const char* target = short_answer);

    static constexpr const char* gateway = "gateway-0";
    const std::uint16_t callers = this->gateways.front().callers;
    const std::uint16_t management = this->gateways.front().management;
};

} // namespace oleanderhinge::tests
