#include "oleanderhinge/entry/metrics.hpp"

#include "oleanderhinge/net/metric_builders.hpp"

namespace oleanderhinge::entry
{

namespace
{

// Bounds in seconds. They include the targets: 0.41 s to the first token and
// 59 ms between tokens.
const prometheus::Histogram::BucketBoundaries first_token_bounds{
    0.05, 0.1, 0.2, 0.3, 0.41, 0.6, 1, 2, 5, 15, 60};
const prometheus::Histogram::BucketBoundaries interval_bounds{
    0.005, 0.01, 0.02, 0.04, 0.059, 0.08, 0.12, 0.25, 0.5, 1, 2};

double seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

prometheus::Family<prometheus::Counter>&
counters(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

std::array<prometheus::Histogram*, base::rank_count> histograms(
    prometheus::Registry& registry,
    const char* name,
    const char* help,
    const prometheus::Histogram::BucketBoundaries& bounds)
{
    auto& family =
        prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    std::array<prometheus::Histogram*, base::rank_count> found{};
    for (std::size_t i = 0; i < found.size(); ++i)
        found[i] =
            &family.Add({{"rank", base::to_string(base::rank(i))}}, bounds);
    return found;
}

} // namespace

metrics::metrics(prometheus::Registry& registry)
    : requests_in_progress(net::add_gauge(
          registry,
          "oleanderhinge_entry_requests_in_progress",
          "Requests that have not been answered"))
    , links(net::add_gauge(
          registry,
          "oleanderhinge_entry_links",
          "Open links to other processes"))
    , servers(net::add_gauge(
          registry,
          "oleanderhinge_entry_backend_servers",
          "Backend servers in the directory"))
    , config_revision(net::add_gauge(
          registry,
          "oleanderhinge_entry_config_revision",
          "Revision of the configuration in force"))
    , config_age_seconds(net::add_gauge(
          registry,
          "oleanderhinge_entry_config_age_seconds",
          "Time since control confirmed the configuration"))
    , link_bytes_sent(net::add_gauge(
          registry,
          "oleanderhinge_entry_link_bytes_sent",
          "Bytes sent over links since the start"))
    , link_bytes_received(net::add_gauge(
          registry,
          "oleanderhinge_entry_link_bytes_received",
          "Bytes received over links since the start"))
    , udp_bytes_sent(net::add_gauge(
          registry,
          "oleanderhinge_entry_udp_bytes_sent",
          "Bytes sent in datagrams since the start"))
    , udp_bytes_received(net::add_gauge(
          registry,
          "oleanderhinge_entry_udp_bytes_received",
          "Bytes received in datagrams since the start"))
    , udp_refused(net::add_gauge(
          registry,
          "oleanderhinge_entry_udp_refused",
          "Datagrams refused as malformed or unauthenticated"))
    , requests(counters(
          registry,
          "oleanderhinge_entry_requests_total",
          "Finished requests by rank and outcome"))
    , attempts(counters(
          registry, "oleanderhinge_entry_attempts_total", "Attempts by result"))
    , retries(counters(
          registry,
          "oleanderhinge_entry_retries_total",
          "Decisions on retries by result"))
    , claims(counters(
          registry,
          "oleanderhinge_entry_claims_total",
          "Answers to claims by state"))
    , first_token_seconds(histograms(
          registry,
          "oleanderhinge_entry_first_token_seconds",
          "Time from the request to its first token",
          first_token_bounds))
    , token_interval_seconds(histograms(
          registry,
          "oleanderhinge_entry_token_interval_seconds",
          "Time between two tokens of an answer",
          interval_bounds))
{
}

void metrics::request_finished(base::rank work_rank, const std::string& outcome)
{
    this->requests
        .Add({{"rank", base::to_string(work_rank)}, {"outcome", outcome}})
        .Increment();
}

void metrics::first_token(base::rank work_rank, base::duration since_accepted)
{
    this->first_token_seconds[std::size_t(work_rank)]->Observe(
        seconds(since_accepted));
}

void metrics::token_interval(base::rank work_rank, base::duration since_last)
{
    this->token_interval_seconds[std::size_t(work_rank)]->Observe(
        seconds(since_last));
}

void metrics::attempt(const std::string& result)
{
    this->attempts.Add({{"result", result}}).Increment();
}

void metrics::retry(const std::string& result)
{
    this->retries.Add({{"result", result}}).Increment();
}

void metrics::claim(const std::string& state)
{
    this->claims.Add({{"state", state}}).Increment();
}

} // namespace oleanderhinge::entry
