// Blocking HTTP calls of a test to the processes on the loopback address.
//
// Example:
//   auto reply = call(port, {"GET", "/readyz"});
//   EXPECT_EQ(reply.status, 200);
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhinge::tests
{

struct http_query {
    std::string method = "GET";
    std::string target = "/";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    // Address of the process.
    std::string host = "127.0.0.1";
};

struct http_reply {
    // 0 if there was no complete answer.
    unsigned status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    // The body of a stream ended as it should.
    bool complete = false;

    std::string header(const std::string& name) const;
};

// Waits at most `limit`. `on_body` gets the parts of the body as they arrive.
http_reply call(
    std::uint16_t port,
    const http_query& query,
    std::chrono::milliseconds limit = std::chrono::seconds(60),
    const std::function<void(const std::string&)>& on_body = {});

// Polls `condition` until it holds; false after `limit`, which is generous so
// that a busy machine does not change the verdict.
bool wait_until(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = std::chrono::seconds(60));

} // namespace oleanderhinge::tests
