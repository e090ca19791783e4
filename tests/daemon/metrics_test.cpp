#include "daemon/metrics.h"
#include "tests/daemon/data_plane_fixture.h"

#include <nlohmann/json.hpp>

using namespace cornelswitch;
using namespace cornelswitch::test;

BOOST_AUTO_TEST_SUITE(request_metrics_of_a_task)

// Guards against memory use that grows with the number of tenant names that callers send.
BOOST_AUTO_TEST_CASE(bound_the_number_of_tenants)
{
    request_metrics metrics{8};
    for (int n = 0; n < 1000; ++n) {
        tenant_id tenant{"t" + std::to_string(n)};
        metrics.record_end(tenant, request_class::bulk, request_end::answered, duration{1});
    }
    BOOST_TEST(metrics.series().size() <= 17U);
    std::uint64_t count = 0;
    for (const auto& [key, it] : metrics.series()) {
        count += it.latency.count();
    }
    BOOST_TEST(count == 1000U);
}

// Guards against counts that are lost when the snapshots of several tasks are merged, and against
// buckets whose sum differs from the count.
BOOST_AUTO_TEST_CASE(merge_and_print_histograms)
{
    request_metrics first;
    request_metrics second;
    tenant_id tenant{"a\"b"};
    for (auto ms : {0, 1, 5, 20, 300'000}) {
        duration latency = std::chrono::milliseconds{ms};
        first.record_end(tenant, request_class::interactive, request_end::answered, latency);
        second.record_end(tenant, request_class::interactive, request_end::not_run, latency);
    }
    first.merge(second);
    auto text = first.to_text();
    auto labels = std::string{"{tenant=\"a\\\"b\",class=\"interactive\""};
    auto has = [&](const std::string& line) { return text.find(line) != std::string::npos; };
    BOOST_TEST(has("cornelswitch_request_seconds_count" + labels + "} 10\n"));
    BOOST_TEST(has("cornelswitch_request_seconds_bucket" + labels + ",le=\"+Inf\"} 10\n"));
    BOOST_TEST(has("cornelswitch_requests_total" + labels + ",outcome=\"not-run\"} 5\n"));
    auto json = nlohmann::json::parse(first.to_json("a\"b", "interactive")).at(0);
    std::uint64_t sum = 0;
    for (const auto& bucket : json["latency"]["buckets"]) {
        sum += bucket["count"].get<std::uint64_t>();
    }
    BOOST_TEST(sum == 10U);
    BOOST_TEST(nlohmann::json::parse(first.to_json("nobody")).empty());
}

// Guards against requests that are not counted, or counted with a wrong outcome.
BOOST_FIXTURE_TEST_CASE(count_every_request_once, data_plane_fixture)
{
    fetch({"GET", "/lookup/a", {{"cornelswitch-tenant", "t1"}}, {}});
    fetch({"GET", "/lookup/a", {{"cornelswitch-tenant", "t1"}}, {}});
    const auto& series = entry->metrics().series().at({"t1", request_class::interactive});
    BOOST_TEST(series.ends.at(static_cast<std::size_t>(request_end::answered)) == 2U);
    BOOST_TEST(series.latency.count() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
