// Guards against settings that are accepted although a daemon would misread
// them, and against messages that do not lead to the line to correct.
#include "oleanderhinge/settings/schema.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>
#include <stdexcept>

namespace oleanderhinge::settings
{
namespace
{

using ::testing::HasSubstr;

const schema keys{
    {"node", "vm", value_type::text, "", "", "", "name of this VM"},
    {"node", "listen", value_type::endpoint, "127.0.0.1:0", "", "", "port"},
    {"node", "seeds", value_type::endpoint_list, "", "", "", "peers", true},
    {"node", "threads", value_type::integer, "2", "1", "64", "threads"},
    {"node", "ratio", value_type::number, "0.25", "0", "1", "ratio"},
    {"node", "verbose", value_type::boolean, "false", "", "", "log more"},
    {"link", "beat", value_type::duration, "250ms", "10ms", "10s", "beat"},
    {"link", "buffer", value_type::size, "16KiB", "1KiB", "", "buffer"},
};

// The message, or "accepted".
std::string fault_of(const std::string& contents)
{
    return base::handle(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_CHECK(parse(contents, keys, "entry.ini"));
            return std::string("accepted");
        },
        [](const base::error& e) { return e.detail; });
}

TEST(settings, values_have_their_types_units_and_defaults)
{
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                v,
                parse(
                    "# comment\n[node]\nvm = entry 1\nthreads=8\n"
                    "seeds = 127.0.0.1:1, [::1]:2\nverbose = true\n"
                    "[link]\nbeat = 2s\n",
                    keys,
                    "entry.ini"));
            EXPECT_EQ(v.text("node.vm"), "entry 1");
            EXPECT_EQ(v.integer("node.threads"), 8);
            EXPECT_EQ(v.number("node.ratio"), 0.25);
            EXPECT_TRUE(v.boolean("node.verbose"));
            EXPECT_EQ(v.duration("link.beat"), std::chrono::seconds(2));
            EXPECT_EQ(v.size("link.buffer"), 16384u);
            EXPECT_EQ(
                v.endpoint("node.listen"), (wire::endpoint{"127.0.0.1", 0}));
            EXPECT_EQ(
                v.endpoint_list("node.seeds"),
                (std::vector<wire::endpoint>{{"127.0.0.1", 1}, {"::1", 2}}));
            EXPECT_FALSE(v.has("node.absent"));
            EXPECT_THROW(v.duration("node.vm"), std::logic_error);
            EXPECT_THROW(v.text("node.absent"), std::logic_error);
            return {};
        },
        [](const base::error& e) { ADD_FAILURE() << e.detail; });
}

TEST(settings, each_fault_is_refused_with_its_place_and_what_is_allowed)
{
    struct fault {
        const char* contents;
        const char* message;
    };
    const fault faults[] = {
        {"[node]\nvm = a\nvm = b\n",
         "entry.ini:3: \"vm = b\": duplicate key name"},
        {"[node]\nvm = a\n[node]\n",
         "entry.ini:3: \"[node]\": duplicate section name"},
        {"[node]\nvm = a\nverbose\n",
         "entry.ini:3: \"verbose\": '=' character not found in line"},
        {"[node]\nvm = a\n= 3\n", "entry.ini:3: \"= 3\": key expected"},
        {"[node]\nvm = a\n[link\n", "entry.ini:3: \"[link\": unmatched '['"},
        {"vm = a\n", "entry.ini: vm = \"a\": the key is outside a section"},
        {"[node]\nvm = a\nvn = b\n",
         "entry.ini: [node] vn = \"b\": unknown key; allowed: vm, listen, "
         "seeds, threads, ratio, verbose"},
        {"[node]\nvm = a\n[lnk]\nbeat = 1s\n",
         "entry.ini: [lnk] beat = \"1s\": unknown section; allowed: link, "
         "node"},
        {"", "entry.ini: [node] vm: the key is missing; allowed: text"},
        {"[node]\nvm =\n", "entry.ini: [node] vm = \"\": the value is empty"},
        {"[node]\nvm = a\nthreads = 2x\n",
         "[node] threads = \"2x\": the value is not in the notation of its "
         "type; allowed: integer, 1 to 64 (default 2)"},
        {"[node]\nvm = a\nthreads = 0\n",
         "[node] threads = \"0\": the value is too small; allowed: integer, "
         "1 to 64"},
        {"[node]\nvm = a\nthreads = 65\n", "the value is too large"},
        {"[node]\nvm = a\nratio = nan\n", "[node] ratio = \"nan\""},
        {"[node]\nvm = a\nverbose = yes\n", "allowed: true or false"},
        {"[node]\nvm = a\nlisten = localhost:1\n", "allowed: endpoint such"},
        {"[node]\nvm = a\nlisten = 127.0.0.1:65536\n", "allowed: endpoint"},
        {"[node]\nvm = a\nlisten = ::1:7301\n", "allowed: endpoint such"},
        {"[node]\nvm = a\nseeds = 127.0.0.1:1,\n", "[node] seeds"},
        {"[node]\nvm = a\n[link]\nbeat = 250\n",
         "[link] beat = \"250\": the value is not in the notation of its "
         "type; allowed: duration with unit us, ms, s, min or h, 10ms to 10s "
         "(default 250ms)"},
        {"[node]\nvm = a\n[link]\nbeat = -1s\n", "[link] beat"},
        {"[node]\nvm = a\n[link]\nbeat = 1KiB\n", "[link] beat"},
        {"[node]\nvm = a\n[link]\nbeat = 11s\n", "the value is too large"},
        {"[node]\nvm = a\n[link]\nbeat = 9223372036854775807h\n",
         "the value is not in the notation"},
        {"[node]\nvm = a\n[link]\nbuffer = 1B\n",
         "the value is too small; allowed: size with unit B, KiB, MiB or GiB, "
         "at least 1KiB"},
        {"[node]\nvm = a\n[link]\nbuffer = 99999999999GiB\n", "[link] buffer"},
    };
    for (const auto& f : faults)
        EXPECT_THAT(fault_of(f.contents), HasSubstr(f.message)) << f.contents;
}

// A daemon that stops at the first fault costs one restart for each.
TEST(settings, all_faults_are_reported_at_once)
{
    EXPECT_EQ(
        fault_of("[node]\nthreads = 0\nthreads = 1\nbroken\n[lnk]\nx = 1\n"),
        "entry.ini:3: \"threads = 1\": duplicate key name; allowed: [section], "
        "key = value, or a comment after # or ;, each section and key once\n"
        "entry.ini:4: \"broken\": '=' character not found in line; allowed: "
        "[section], key = value, or a comment after # or ;, each section and "
        "key once\n"
        "entry.ini: [node] vm: the key is missing; allowed: text\n"
        "entry.ini: [node] threads = \"0\": the value is too small; allowed: "
        "integer, 1 to 64 (default 2)\n"
        "entry.ini: [lnk] x = \"1\": unknown section; allowed: link, node");
}

TEST(settings, a_file_that_cannot_be_read_is_named)
{
    for (const char* path : {"/nonexistent/entry.ini", "/"}) {
        const auto message = base::handle(
            [&]() -> base::result<std::string> {
                BOOST_LEAF_CHECK(load(path, keys));
                return std::string("accepted");
            },
            [](const base::error& e) { return e.detail; });
        EXPECT_EQ(message, std::string(path) + ": the file cannot be read");
    }
}

TEST(settings, a_schema_with_a_key_twice_is_a_programming_error)
{
    auto doubled = keys;
    doubled.push_back(keys.front());
    EXPECT_THROW((void)parse("", doubled, "x"), std::logic_error);
}

} // namespace
} // namespace oleanderhinge::settings
