// A whole deployment on the loopback address: control, entry nodes, pipeline
// servers with their agents, plain services with theirs.
//
// Example:
//   fleet f{{.control = 1, .entries = 1, .replicas = 2, .services = 1}};
//   f.start();
//   f.confirm(fleet::usual_intents());
//   auto answer = f.chat(0, "coil 7 is weak");
#pragma once

#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oleanderhinge::tests
{

struct fleet_options {
    std::size_t control = 1;
    std::size_t entries = 1;
    // Layer ranges of the model, and servers of each range.
    std::size_t stages = 3;
    std::size_t replicas = 1;
    std::size_t services = 1;
    unsigned step_ms = 2;
    unsigned service_delay_ms = 0;
    // Further lines of the INI files.
    std::string entry_extra;
    std::string agent_extra;
    std::string control_extra;
};

struct chat_result {
    unsigned status = 0;
    // Concatenated tokens.
    std::string text;
    std::size_t tokens = 0;
    // The stream ended with its end marker.
    bool complete = false;
    // The error event or problem document, if any.
    std::string problem;
    std::string finish_reason;
};

class fleet
{
public:
    static constexpr const char* customer_token = "token-of-glasgow-bench";
    static constexpr const char* small_token = "token-of-inverness-bench";
    static constexpr const char* admin_token = "operators-only-token";

    explicit fleet(fleet_options chosen);
    // Prints the events of the processes that run if a test has failed.
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    // Starts all processes and waits until control has a leader.
    void start();
    void start_control(std::size_t i);
    void start_entry(std::size_t i);
    // Engine and agent of one replica of one stage.
    void start_server(std::size_t stage, std::size_t replica);
    void start_engine(std::size_t stage, std::size_t replica);
    void start_agent(std::size_t stage, std::size_t replica);
    void start_service(std::size_t i);
    void start_service_agent(std::size_t i);

    // Creates a plan and confirms it; the reply to the confirm.
    http_reply confirm(const std::string& intents);
    http_reply admin(const http_query& query);
    // Route bench-assistant, its plain service stores-desk, two customers.
    static std::string usual_intents();
    // Waits until entry node `i` is ready and has an answer for a short chat
    // and, if there are services, for a stock query.
    bool wait_serving(std::size_t i);

    chat_result chat(
        std::size_t entry,
        const std::string& prompt,
        unsigned max_tokens = 12,
        const std::string& token = customer_token,
        const std::function<void(const std::string&)>& on_body = {});
    // The text that the engine stand-in generates for a prompt.
    static std::string
    expected_text(const std::string& prompt, unsigned max_tokens);
    http_reply reserve(
        std::size_t entry,
        const std::string& key,
        const std::string& part = "flipper-coil");

    // Lines that plain services have recorded, over all of them.
    std::vector<std::string> bookings();
    // Index of the control VM that is the leader, or the number of them.
    std::size_t leader();

    static std::string control_name(std::size_t i);
    static std::string entry_name(std::size_t i);
    static std::string server_name(std::size_t stage, std::size_t replica);
    static std::string service_name(std::size_t i);
    static std::string agent_of(const std::string& server);

    processes run;

    struct control_ports {
        std::uint16_t link = 0;
        std::uint16_t admin = 0;
        std::uint16_t management = 0;
    };
    struct entry_ports {
        std::uint16_t link = 0;
        std::uint16_t announce = 0;
        std::uint16_t callers = 0;
        std::uint16_t management = 0;
    };
    struct server_ports {
        std::uint16_t engine = 0;
        std::uint16_t links = 0;
        std::uint16_t announcements = 0;
        std::uint16_t management = 0;
    };

    const fleet_options options;
    std::vector<control_ports> controls;
    std::vector<entry_ports> entries;
    // By stage * replicas + replica, then the plain services.
    std::vector<server_ports> servers;

private:
    std::string agent_settings(
        const std::string& name,
        const server_ports& ports,
        const std::string& kind_lines) const;
    std::string node_lines(const std::string& vm) const;
    void print_events(const std::string& name, std::uint16_t management);

    // Member of control that answered the last admin call.
    std::size_t last_answering = 0;
};

} // namespace oleanderhinge::tests
