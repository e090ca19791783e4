#include "cli/config_client.h"
#include "cli/config_edits.h"
#include "config/configuration_change.h"
#include "config/configuration_reader.h"
#include "config/configuration_writer.h"
#include "tests/cli/memory_log.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

const std::string small_file = R"(zones: [a, b]
profiles: [{name: p}]
services:
  - {name: s, profile: p, servers: [{id: s1, zone: a, address: 127.0.0.1:9001}]}
)";

/// Two operators on the same log.
struct two_operators {
    memory_log log;
    blocking_log blocking{log, [] {}};
    config_client first{blocking, {instance_id{"tool"}, boot_id{1}, writer_sequence{}}};
    config_client second{blocking, {instance_id{"tool"}, boot_id{2}, writer_sequence{}}};

    auto drain(config_client& client) -> result<config_version>
    {
        return client.edit([](auto& value) { return drain_server(value, server_id{"s1"}); });
    }
    auto zone_out(config_client& client) -> result<config_version>
    {
        return client.edit([](auto& value) { return take_zone_out(value, zone_id{"b"}, false); });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(publishing_a_configuration, two_operators)

// Guards against an operator who overwrites a change that was published after the read.
BOOST_AUTO_TEST_CASE(accepts_only_the_first_of_two_records)
{
    auto accepted = first.publish("one", config_version{}).value();
    BOOST_TEST(accepted.published);
    BOOST_TEST(accepted.version == config_version{1});
    auto rejected = second.publish("two", config_version{}).value();
    BOOST_TEST(!rejected.published);
    BOOST_TEST(rejected.version == config_version{1});
    BOOST_TEST(rejected.version_writer.boot == boot_id{1});
    BOOST_TEST(second.text() == "one");
}

// Guards against a change that is published twice because the response to its append was lost.
BOOST_AUTO_TEST_CASE(resolves_a_lost_response_by_reading_back)
{
    log.lost_responses = 1;
    BOOST_TEST(first.publish("one", config_version{}).value().published);
    BOOST_TEST(log.records.size() == 1U);
}

// Guards against a publish that is reported as failed although only the append was lost.
BOOST_AUTO_TEST_CASE(repeats_a_lost_append_with_the_same_record)
{
    log.lost_appends = 2;
    BOOST_TEST(first.publish("one", config_version{}).value().published);
    BOOST_TEST(log.records.size() == 1U);
    log.failed_reads = 1; // The first read-back fails, so the record is appended twice.
    auto again = first.publish("two", config_version{1}).value();
    BOOST_TEST(again.published);
    BOOST_TEST(again.version == config_version{2});
    BOOST_TEST(log.records.size() == 3U);
    BOOST_TEST(second.refresh().has_value());
    BOOST_TEST(second.version() == config_version{2});
}

// Guards against an unreachable log that is reported as a conflict or as success.
BOOST_AUTO_TEST_CASE(reports_an_unknown_outcome_as_an_error)
{
    log.failed_reads = 1000;
    log.lost_responses = 1000;
    auto out = first.publish("one", config_version{});
    BOOST_REQUIRE(out.has_error());
    BOOST_TEST((out.error().code == error_code::unavailable));
    BOOST_TEST(out.error().message.find("may still be accepted") != std::string::npos);
    BOOST_TEST(first.publish(std::string(2U << 20U, 'x'), config_version{}).has_error());
}

// Guards against an edit that undoes another operator's edit made at the same time.
BOOST_AUTO_TEST_CASE(keeps_concurrent_edits_of_two_operators)
{
    BOOST_TEST(first.publish(small_file, config_version{}).value().published);
    log.before_append = [&] { BOOST_TEST(zone_out(second).has_value()); };
    BOOST_TEST(drain(first).value() == config_version{4});
    auto value = first.current().value();
    BOOST_TEST(value.out_of_service.servers.contains(server_id{"s1"}));
    BOOST_TEST(value.out_of_service.zones.contains(zone_id{"b"}));
    auto records = log.records.size();
    BOOST_TEST(drain(second).value() == config_version{4});
    BOOST_TEST(log.records.size() == records);
}

// Guards against edits of undefined zones and servers, and edits when no configuration is
// published.
BOOST_AUTO_TEST_CASE(rejects_an_edit_of_an_undefined_zone_or_server)
{
    BOOST_TEST((drain(first).error().code == error_code::not_found));
    BOOST_TEST(first.publish(small_file, config_version{}).value().published);
    auto out = first.edit([](auto& it) { return take_zone_out(it, zone_id{"z"}, true); });
    BOOST_TEST((out.error().code == error_code::not_found));
    BOOST_TEST(
        first.edit([](auto& it) { return take_zone_out(it, zone_id{"b"}, true); }).has_value());
    BOOST_TEST(first.edit([](auto& it) { return return_zone(it, zone_id{"b"}); }).has_value());
    BOOST_TEST(first.current().value().out_of_service.stopped_zones.empty());
}

// Guards against an empty or outdated configuration after retention has dropped records.
BOOST_AUTO_TEST_CASE(reads_a_snapshot_after_retention_has_dropped_records)
{
    BOOST_TEST(first.publish(small_file, config_version{}).value().published);
    record_header writer{instance_id{"i1"}, boot_id{9}, writer_sequence{1}};
    log.records.push_back(encode_config_record(
        {writer, config_snapshot{log_offset{1}, config_version{1}, small_file}}));
    log.first = 1;
    BOOST_TEST(second.refresh().has_value());
    BOOST_TEST(second.version() == config_version{1});
    BOOST_TEST(drain(second).value() == config_version{3});
    log.first = 2; // Only a change record is left, and the version that it replaces is unknown.
    config_client third{blocking, {instance_id{"tool"}, boot_id{3}, writer_sequence{}}};
    BOOST_TEST((third.refresh().error().code == error_code::not_found));
}

// Guards against a change that maps the keys of a running service to other slots.
BOOST_AUTO_TEST_CASE(rejects_a_change_of_the_slots_of_an_existing_service)
{
    auto before = read_configuration(small_file, "f").value();
    auto after = before;
    BOOST_TEST(check_change(before, after).empty());
    after.services[0].hash_slots = 7;
    after.services[0].keyed = false;
    BOOST_TEST(check_change(before, after).size() == 2U);
    BOOST_TEST(check_change({}, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
