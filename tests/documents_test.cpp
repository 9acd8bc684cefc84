// Guards against settings and callers' errors that the documents do not name.
#include "oleanderhinge/agent/options.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/control/settings.hpp"
#include "oleanderhinge/entry/entry_node.hpp"
#include "oleanderhinge/gateway/settings.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace oleanderhinge::tests
{
namespace
{

std::string read_document(const std::string& name)
{
    std::ifstream in(std::string(OLEANDERHINGE_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

// Every row of the generated table must stand in the operators' page, with
// type, default, range and meaning.
TEST(documents, operators_page_has_every_setting)
{
    const auto page = read_document("OPERATIONS.md");
    const settings::schema schemas[] = {
        entry::entry_schema(),
        agent::agent_keys(),
        control::control_keys(),
        gateway::gateway_keys()};
    for (const auto& keys : schemas) {
        std::istringstream rows(settings::document(keys));
        for (std::string row; std::getline(rows, row);)
            EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(documents, interface_page_has_every_failure_code)
{
    const auto page = read_document("api.md");
    for (int i = 1; i <= int(base::failure_code::internal); ++i) {
        const std::string name = base::to_string(base::failure_code(i));
        EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
    }
}

} // namespace
} // namespace oleanderhinge::tests
