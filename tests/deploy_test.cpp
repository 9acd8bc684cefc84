// Guards against settings files of the platform that our own checks refuse: a
// process that ends at its start is started again and again.
#include "oleanderhinge/control/settings.hpp"
#include "oleanderhinge/gateway/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace oleanderhinge::tests
{
namespace
{

// Values of the same form as the platform's.
std::string fill_in(
    const std::string& name,
    const std::set<std::string>& without = {},
    const std::map<std::string, std::string>& others = {})
{
    std::map<std::string, std::string> values{
        {"nodeName", "edge-glasgow-1"},
        {"region", "scotland"},
        {"zone", "glasgow"},
        {"ip", "10.1.0.40"},
        {"dataDirectory", "/data/control"},
        {"bootstrap", "true"},
        {"faultTolerance.machines", "2"},
        {"seeds", "10.1.0.40:8229,10.2.0.29:8229,10.3.0.19:8229"},
        {"internalPorts.0", "7340"},
        {"listen.frontend", "10.1.0.40:8227"},
        {"listen.ready", "10.1.0.40:8220"},
        {"listen.controlPlane", "10.1.0.40:8229"},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.budgetSlack", "416"},
        {"bounds.budgetWindowS", "10"},
        {"bounds.graceS", "8"},
        {"limits.memoryMb", "112"},
        {"limits.fileDescriptors", "2870"},
        {"limits.linkMbps", "100.0"}};
    for (const auto& [key, value] : others)
        values[key] = value;
    std::ifstream in(std::string(OLEANDERHINGE_SOURCE_DIR) + "/deploy/" + name);
    std::ostringstream contents;
    contents << in.rdbuf();
    auto text = contents.str();
    // Sections of a value are kept where there is one.
    for (auto open = text.find("{{#"); open != text.npos;
         open = text.find("{{#")) {
        const auto close = text.find("}}", open);
        const auto key = text.substr(open + 3, close - open - 3);
        const auto end_mark = "{{/" + key + "}}";
        const auto end = text.find(end_mark);
        const auto inner = text.substr(close + 2, end - close - 2);
        text.replace(
            open,
            end + end_mark.size() - open,
            without.contains(key) ? "" : inner);
    }
    for (auto open = text.find("{{"); open != text.npos;
         open = text.find("{{")) {
        const auto close = text.find("}}", open);
        const auto key = text.substr(open + 2, close - open - 2);
        const auto found = values.find(key);
        EXPECT_NE(found, values.end()) << key;
        text.replace(
            open, close + 2 - open, found == values.end() ? "" : found->second);
    }
    return text;
}

template <class Settings, class Load>
Settings checked(
    const std::string& name,
    const settings::schema& keys,
    const Load& load,
    const std::set<std::string>& without = {},
    const std::map<std::string, std::string>& others = {})
{
    return base::handle(
        [&]() -> base::result<Settings> {
            BOOST_LEAF_AUTO(
                values,
                settings::parse(fill_in(name, without, others), keys, name));
            return load(values);
        },
        [](const base::error& e) -> Settings {
            ADD_FAILURE() << e.detail;
            return {};
        });
}

TEST(deploy, the_gateways_template_gives_valid_settings)
{
    const auto chosen = checked<gateway::gateway_settings>(
        "gateway.ini", gateway::gateway_keys(), gateway::load_settings);
    ASSERT_EQ(chosen.seeds.size(), 3U);
    EXPECT_EQ(chosen.seeds[1], (wire::endpoint{"10.2.0.29", 7340}));
    EXPECT_EQ(chosen.memory, 112000000U);
    // SIGKILL follows 8 s after SIGTERM.
    EXPECT_LT(chosen.times.drain_limit, std::chrono::seconds(8));
}

// Guards against a control node that is started on a machine without a disk and
// ends again and again.
TEST(deploy, the_control_template_is_valid_without_a_disk)
{
    const auto chosen = checked<control::control_settings>(
        "control.ini",
        control::control_keys(),
        control::load_settings,
        {"dataDirectory"});
    EXPECT_TRUE(chosen.data_folder.empty());
    EXPECT_EQ(chosen.service.tolerated_losses, 2U);
}

// Bounds of the platform may be integers or fractions, and tables may be
// absent. Guards against gateways that end at the start: a small twin of a day
// has a slack of 59.69.
TEST(deploy, the_gateways_template_takes_fractions)
{
    const auto chosen = checked<gateway::gateway_settings>(
        "gateway.ini",
        gateway::gateway_keys(),
        gateway::load_settings,
        {},
        {{"bounds.budgetSlack", "59.69696969696969"},
         {"bounds.budgetWindowS", "2.5"},
         {"bounds.retryBudgetRatio", "1.5"},
         {"bounds.graceS", "4.5"},
         {"limits.memoryMb", "37.333333"}});
    EXPECT_EQ(chosen.memory, 37333333U);
    EXPECT_EQ(chosen.descriptors, 2870U);
    EXPECT_DOUBLE_EQ(chosen.retries.slack, 59.69696969696969);
    EXPECT_EQ(chosen.retries.window, std::chrono::milliseconds(2500));
    EXPECT_LT(chosen.times.drain_limit, std::chrono::milliseconds(4500));
    EXPECT_LT(chosen.leave_time, chosen.times.drain_limit);
}

TEST(deploy, the_templates_are_valid_without_optional_values)
{
    const auto gateway = checked<gateway::gateway_settings>(
        "gateway.ini",
        gateway::gateway_keys(),
        gateway::load_settings,
        {"bounds.budgetSlack",
         "bounds.budgetWindowS",
         "bounds.retryBudgetRatio",
         "bounds.graceS",
         "limits.memoryMb",
         "limits.fileDescriptors"});
    EXPECT_EQ(gateway.seeds.size(), 3U);
    const auto control = checked<control::control_settings>(
        "control.ini",
        control::control_keys(),
        control::load_settings,
        {"faultTolerance.machines", "limits.linkMbps"});
    EXPECT_EQ(control.members.size(), 3U);
}

TEST(deploy, the_control_template_gives_valid_settings)
{
    const auto chosen = checked<control::control_settings>(
        "control.ini", control::control_keys(), control::load_settings);
    ASSERT_EQ(chosen.members.size(), 3U);
    EXPECT_TRUE(chosen.forms_group);
    EXPECT_EQ(chosen.members[0].vm.value(), "10.1.0.40");
    EXPECT_EQ(chosen.members[2].link, (wire::endpoint{"10.3.0.19", 7340}));
    EXPECT_EQ(chosen.members[2].admin, (wire::endpoint{"10.3.0.19", 8229}));
}

} // namespace
} // namespace oleanderhinge::tests
