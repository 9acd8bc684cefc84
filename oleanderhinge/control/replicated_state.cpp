#include "oleanderhinge/control/replicated_state.hpp"

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/control_state/snapshot.hpp"

#include <stdexcept>
#include <utility>

namespace oleanderhinge::control
{

replicated_state::replicated_state(std::function<void()> on_revision)
    : changed(std::move(on_revision))
{
}

replica::state_machine replicated_state::machine()
{
    return {
        .apply =
            [this](base::log_index index, const std::string& command) {
                return this->apply(index, command);
            },
        .take_snapshot = [this] { return this->take_snapshot(); },
        .restore =
            [this](base::log_index index, const std::string& snapshot) {
                this->restore(index, snapshot);
            }};
}

std::string
replicated_state::apply(base::log_index index, const std::string& command)
{
    std::string reply;
    bool new_revision = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto before = this->held.config.at;
        reply = control_state::encode(
            control_state::apply_encoded(this->held, command, index));
        new_revision = this->held.config.at != before;
    }
    if (new_revision)
        this->notify();
    return reply;
}

std::string replicated_state::take_snapshot() const
{
    return this->read([](const control_state::state& from) {
        return control_state::encode_snapshot(from);
    });
}

void replicated_state::restore(
    base::log_index index, const std::string& snapshot)
{
    // A snapshot that cannot be read leaves no state to go on with; the log
    // has verified its checksum, so this is a fault of the program.
    auto restored = base::handle(
        [&] { return control_state::decode_snapshot(snapshot); },
        [](const base::error& failure) -> control_state::state {
            throw std::runtime_error(failure.detail);
        });
    // The log may count entries of its own behind the last command.
    if (restored.applied < index)
        restored.applied = index;
    {
        const std::lock_guard lock(this->mutex);
        this->held = std::move(restored);
    }
    this->notify();
}

void replicated_state::notify() const
{
    if (this->changed)
        this->changed();
}

} // namespace oleanderhinge::control
