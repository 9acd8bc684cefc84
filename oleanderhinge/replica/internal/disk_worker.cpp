#include "oleanderhinge/replica/internal/disk_worker.hpp"

#include "oleanderhinge/wire/archive.hpp"

#include <iterator>
#include <utility>

namespace oleanderhinge::replica::internal
{

storage::record to_record(const consensus::entry& e)
{
    return {e.index, e.entry_term, std::uint8_t(e.kind), e.payload};
}

consensus::entry to_entry(storage::record r)
{
    return {
        r.record_term,
        r.index,
        consensus::entry_kind(r.kind),
        std::move(r.payload)};
}

storage::snapshot to_stored(const consensus::snapshot_content& content)
{
    storage::snapshot out{content.last, content.last_term, {}};
    wire::output_archive archive(out.data);
    archive(content.members, *content.data);
    return out;
}

base::result<consensus::snapshot_content>
from_stored(const storage::snapshot& s)
{
    using parts = std::pair<consensus::membership, std::string>;
    BOOST_LEAF_AUTO(p, wire::from_bytes<parts>(s.data));
    return consensus::snapshot_content{
        s.last,
        s.last_term,
        std::move(p.first),
        std::make_shared<const std::string>(std::move(p.second))};
}

disk_worker::disk_worker(
    std::unique_ptr<storage::log_store> store_in, disk_events events_in)
    : store(std::move(store_in))
    , events(std::move(events_in))
    , published(this->store->counters())
    , thread([this] { this->run(); })
{
}

disk_worker::~disk_worker()
{
    this->stop();
}

void disk_worker::add(disk_job job)
{
    const std::lock_guard lock(this->mutex);
    this->waiting.push_back(std::move(job));
    this->wake.notify_one();
}

void disk_worker::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->wake.notify_one();
    }
    if (this->thread.joinable())
        this->thread.join();
}

storage::store_counters disk_worker::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->published;
}

bool disk_worker::wait_for_jobs()
{
    std::unique_lock lock(this->mutex);
    this->published = this->store->counters();
    this->wake.wait(
        lock, [&] { return this->stopping || !this->waiting.empty(); });
    std::move(
        this->waiting.begin(),
        this->waiting.end(),
        std::back_inserter(this->in_hand));
    this->waiting.clear();
    return !this->stopping;
}

bool disk_worker::wait_to_retry()
{
    std::unique_lock lock(this->mutex);
    return !this->wake.wait_for(
        lock, disk_retry_interval, [&] { return this->stopping; });
}

void disk_worker::run()
{
    while (this->wait_for_jobs()) {
        auto outcome = this->try_write();
        const bool was_full = outcome.state == write_state::no_space;
        if (was_full)
            this->events.refused(outcome.reason);
        while (outcome.state == write_state::no_space) {
            if (!this->wait_to_retry())
                return;
            outcome = this->try_write();
        }
        if (outcome.state == write_state::failed) {
            this->events.failed(outcome.reason);
            return;
        }
        if (was_full)
            this->events.writable();
    }
}

disk_worker::write_outcome disk_worker::try_write()
{
    return base::handle(
        [&]() -> base::result<write_outcome> {
            BOOST_LEAF_CHECK(this->store->repair());
            BOOST_LEAF_CHECK(this->write());
            return write_outcome{};
        },
        [](const base::error& e) -> write_outcome {
            const bool full = e.code == base::error_code::no_space;
            return {
                full ? write_state::no_space : write_state::failed, e.detail};
        });
}

base::result<void> disk_worker::write()
{
    while (!this->in_hand.empty()) {
        BOOST_LEAF_CHECK(std::visit(
            [&](const auto& job) { return this->write_one(job); },
            this->in_hand.front()));
        this->in_hand.pop_front();
    }
    return this->sync_and_report();
}

base::result<void> disk_worker::sync_and_report()
{
    BOOST_LEAF_CHECK(this->store->sync());
    if (this->written_sequence != this->reported_sequence)
        this->events.persisted(this->written_sequence);
    this->reported_sequence = this->written_sequence;
    return {};
}

base::result<void> disk_worker::write_one(const consensus::persist& job)
{
    if (job.vote) {
        BOOST_LEAF_CHECK(this->store->save_vote(
            {job.vote->current_term, job.vote->voted_for}));
    }
    if (job.truncate_from)
        this->store->truncate_from(*job.truncate_from);
    for (const auto& e : job.entries)
        this->store->append(to_record(e));
    this->written_sequence = job.write_sequence;
    return {};
}

base::result<void>
disk_worker::write_one(const consensus::install_snapshot& job)
{
    BOOST_LEAF_CHECK(this->sync_and_report());
    BOOST_LEAF_CHECK(this->store->install_snapshot(to_stored(job.snapshot)));
    this->written_sequence = job.write_sequence;
    return {};
}

base::result<void> disk_worker::write_one(const save_snapshot& job)
{
    BOOST_LEAF_CHECK(this->sync_and_report());
    BOOST_LEAF_CHECK(this->store->save_snapshot(to_stored(job.content)));
    this->events.snapshot_saved(job.content);
    return {};
}

} // namespace oleanderhinge::replica::internal
