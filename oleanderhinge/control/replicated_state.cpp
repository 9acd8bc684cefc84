#include "oleanderhinge/control/replicated_state.hpp"

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/control_state/snapshot.hpp"

#include <stdexcept>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

base::log_index last_end(const control_state::state& from)
{
    return from.ended_servers.empty() ? base::log_index{}
                                      : from.ended_servers.back().recorded_at;
}

} // namespace

replicated_state::replicated_state(std::function<void()> change_callback)
    : on_change(std::move(change_callback))
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
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto before = this->held.config.at;
        const auto end_before = last_end(this->held);
        reply = control_state::encode(
            control_state::apply_encoded(this->held, command, index));
        changed = this->held.config.at != before ||
                  last_end(this->held) != end_before;
    }
    if (changed)
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
    // Without a readable snapshot there is no state to continue from. The log
    // has verified the checksum, so this is a programming error.
    auto restored = base::handle(
        [&] { return control_state::decode_snapshot(snapshot); },
        [](const base::error& failure) -> control_state::state {
            throw std::runtime_error(failure.detail);
        });
    // Entries of the log itself, which are not commands, may follow the last
    // command.
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
    if (this->on_change)
        this->on_change();
}

} // namespace oleanderhinge::control
