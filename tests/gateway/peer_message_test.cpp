#include "gateway/peer_message.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(messages_between_instances)

BOOST_AUTO_TEST_CASE(are_decoded_as_they_were_encoded_and_in_order)
{
    service_id service{"s"};
    admission_query query;
    query.service = service;
    query.id = admission_id{9};
    query.key = 41'210;
    query.work = work_class{7};
    query.has_large_response = true;
    query.objective_left = milliseconds{-5};
    query.excluded = {server_id{"a"}, server_id{"b"}};
    admission_answer answer{service,     admission_id{9},         admission_outcome::refuse,
                            server_id{}, refusal_cause::overload, milliseconds{120},
                            14,          milliseconds{300}};
    answer.rate_limit = applied_rate_limit{{3.5}, milliseconds{40}, instance_id{"i7"}};
    answer.valuation = {0.5, 8.25, 2, true, false, true};
    attempt_report report{attempt_outcome::withheld, milliseconds{3}, 1, 2, 150, milliseconds{800}};
    report.rate_limit = rate_limit_notice{request_rate{0}, milliseconds{6}};
    candidate sender{instance_id{"i1"}, zone_id{"z1"}, {"127.0.0.1", 7200}, 0.5};
    topic_update update;
    update.topic = shared_topic::candidates;
    update.from = log_offset{3};
    update.end = log_offset{5};
    update.is_reload = true;
    update.records = {{"k", "v"}, {"gone", ""}};
    std::string bytes;
    encode_peer_message(bytes, peer_hello{sender, boot_id{5}, true});
    encode_peer_message(bytes, query);
    encode_peer_message(bytes, answer);
    encode_peer_message(bytes, role_stopped{service_id{"s"},
                                            lease_term{3},
                                            {lease_term{2},
                                             milliseconds{1200},
                                             {{{7, 65'535},
                                               server_id{"a"},
                                               1'700'000'000'123,
                                               milliseconds{40},
                                               milliseconds{-5}}}}});
    encode_peer_message(bytes, peer_ping{});
    encode_peer_message(bytes, update);
    encode_peer_message(bytes, admission_completed{service, admission_id{9}, report});
    encode_peer_message(bytes, update_subscription{{{shared_topic::coordination, std::nullopt},
                                                    {shared_topic::servers, log_offset{12}}}});
    encode_peer_message(bytes, fleet_status{295});
    encode_peer_message(bytes, progress_query{});
    encode_peer_message(bytes, progress_report{{{shared_topic::operators, log_offset{41}}}});
    auto decoded = decode_peer_messages(bytes);
    BOOST_REQUIRE(decoded.has_value());
    const auto& all = decoded.value();
    BOOST_REQUIRE(all.size() == 11U);
    BOOST_TEST((std::get<peer_hello>(all[0]).sender == sender));
    const auto& decoded_query = std::get<admission_query>(all[1]);
    BOOST_TEST((decoded_query.service == service));
    BOOST_TEST(*decoded_query.key == 41'210);
    BOOST_TEST((decoded_query.objective_left == milliseconds{-5}));
    BOOST_TEST(decoded_query.excluded.size() == 2U);
    const auto& refused = std::get<admission_answer>(all[2]);
    BOOST_TEST((refused.cause == refusal_cause::overload));
    BOOST_TEST(refused.queue_length == 14U);
    BOOST_REQUIRE(refused.rate_limit.has_value());
    BOOST_TEST(refused.rate_limit->limit.per_second == 3.5);
    BOOST_TEST((refused.rate_limit->age == milliseconds{40}));
    BOOST_TEST(refused.rate_limit->reported_by.value() == "i7");
    BOOST_TEST(refused.valuation.value == 0.5);
    BOOST_TEST(refused.valuation.favoured_value == 8.25);
    BOOST_TEST(refused.valuation.level == 2U);
    BOOST_TEST(refused.valuation.is_displaced);
    BOOST_TEST(!refused.valuation.is_returning);
    BOOST_TEST(refused.valuation.has_place);
    const auto& stopped = std::get<role_stopped>(all[3]);
    BOOST_TEST(stopped.term.value() == 3U);
    BOOST_TEST(stopped.state.last_term.value() == 2U);
    BOOST_TEST((stopped.state.earlier_terms_end_in == milliseconds{1200}));
    BOOST_REQUIRE(stopped.state.ranges.size() == 1U);
    BOOST_TEST(
        (stopped.state.ranges[0] ==
         transferred_range{
             {7, 65'535}, server_id{"a"}, 1'700'000'000'123, milliseconds{40}, milliseconds{-5}}));
    BOOST_TEST(std::holds_alternative<peer_ping>(all[4]));
    const auto& decoded_update = std::get<topic_update>(all[5]);
    BOOST_TEST((decoded_update.topic == shared_topic::candidates));
    BOOST_TEST(decoded_update.end.value() == 5U);
    BOOST_TEST(decoded_update.is_reload);
    BOOST_TEST(decoded_update.records.at(1).first == "gone");
    const auto& completed = std::get<admission_completed>(all[6]);
    BOOST_TEST((completed.report.outcome == attempt_outcome::withheld));
    BOOST_TEST((completed.report.hold_off == milliseconds{800}));
    BOOST_REQUIRE(completed.report.rate_limit.has_value());
    BOOST_TEST(completed.report.rate_limit->limit.value().per_second == 0.0);
    BOOST_TEST((completed.report.rate_limit->age == milliseconds{6}));
    const auto& wanted = std::get<update_subscription>(all[7]);
    BOOST_TEST(!wanted.topics.at(0).second.has_value());
    BOOST_TEST(wanted.topics.at(1).second->value() == 12U);
    BOOST_TEST(std::get<fleet_status>(all[8]).instances == 295U);
    BOOST_TEST(std::holds_alternative<progress_query>(all[9]));
    const auto& progress = std::get<progress_report>(all[10]);
    BOOST_TEST((progress.ends.at(0) == std::pair{shared_topic::operators, log_offset{41}}));
    BOOST_TEST(bytes.empty());
}

// Guards against messages that differ where the store has no eras, and against an era that is lost.
BOOST_AUTO_TEST_CASE(name_the_era_of_the_store_only_if_there_is_one)
{
    topic_update update;
    update.end = log_offset{5};
    std::string without;
    encode_peer_message(without, update);
    encode_peer_message(without, subscription_keepalive{});
    update.era = store_era{3};
    std::string with;
    encode_peer_message(with, update);
    encode_peer_message(with, subscription_keepalive{store_era{4}});
    // Each era below 128 is one more byte.
    BOOST_TEST(with.size() == without.size() + 2);
    auto earlier = decode_peer_messages(without).value();
    BOOST_TEST((std::get<topic_update>(earlier.at(0)).era == store_era{}));
    BOOST_TEST((std::get<subscription_keepalive>(earlier.at(1)).era == store_era{}));
    auto all = decode_peer_messages(with).value();
    BOOST_TEST((std::get<topic_update>(all.at(0)).era == store_era{3}));
    BOOST_TEST((std::get<subscription_keepalive>(all.at(1)).era == store_era{4}));
}

// Guards against a response without a limit that is taken for one that says nothing about it.
BOOST_AUTO_TEST_CASE(distinguish_a_response_without_a_limit_from_no_response)
{
    std::string bytes;
    attempt_report report;
    encode_peer_message(bytes, admission_completed{service_id{"s"}, admission_id{1}, report});
    report.rate_limit = rate_limit_notice{};
    encode_peer_message(bytes, admission_completed{service_id{"s"}, admission_id{2}, report});
    auto all = decode_peer_messages(bytes).value();
    BOOST_TEST(!std::get<admission_completed>(all[0]).report.rate_limit.has_value());
    const auto& second = std::get<admission_completed>(all[1]).report.rate_limit;
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(!second->limit.has_value());
}

BOOST_AUTO_TEST_CASE(report_the_rate_limit_of_a_server)
{
    server_rate_limit_report report{
        server_id{"a"}, 1'700'000'000'123, {2.5}, milliseconds{90}, milliseconds{-1}};
    std::string bytes;
    encode_peer_message(bytes, rate_limit_message{service_id{"s"}, report});
    auto all = decode_peer_messages(bytes).value();
    const auto& decoded = std::get<rate_limit_message>(all.at(0));
    BOOST_TEST((decoded.service == service_id{"s"}));
    BOOST_TEST((decoded.report.server == report.server));
    BOOST_TEST(decoded.report.incarnation == report.incarnation);
    BOOST_TEST(decoded.report.limit.per_second == 2.5);
    BOOST_TEST((decoded.report.requested_age == milliseconds{90}));
    BOOST_TEST((decoded.report.answered_age == milliseconds{-1}));
}

BOOST_AUTO_TEST_CASE(report_and_allocate_quotas)
{
    quota_report report{7, 5, {{workspace_id{"w"}, 3, 9, 0.25, quota_mode::limited}}};
    quota_allocation allocation{6,
                                7,
                                {{workspace_id{"w"}, quota_mode::limited, 2.5, 0.5, 0.125},
                                 {workspace_id{"v"}, quota_mode::open, 0, 1, std::nullopt}}};
    std::string bytes;
    encode_peer_message(bytes, report);
    encode_peer_message(bytes, allocation);
    auto all = decode_peer_messages(bytes).value();
    const auto& usage = std::get<quota_report>(all.at(0));
    BOOST_TEST(usage.number == 7U);
    BOOST_TEST(usage.last_allocation == 5U);
    BOOST_REQUIRE(usage.entries.size() == 1U);
    BOOST_TEST((usage.entries[0].workspace == workspace_id{"w"}));
    BOOST_TEST(usage.entries[0].admitted == 3U);
    BOOST_TEST(usage.entries[0].offered == 9U);
    BOOST_TEST(usage.entries[0].share == 0.25);
    BOOST_TEST((usage.entries[0].mode == quota_mode::limited));
    const auto& allocated = std::get<quota_allocation>(all.at(1));
    BOOST_TEST(allocated.number == 6U);
    BOOST_TEST(allocated.report == 7U);
    BOOST_REQUIRE(allocated.entries.size() == 2U);
    BOOST_TEST((allocated.entries[0].mode == quota_mode::limited));
    BOOST_TEST(allocated.entries[0].rate == 2.5);
    BOOST_TEST(allocated.entries[0].admitted_part == 0.5);
    BOOST_TEST(allocated.entries[0].share.value_or(0) == 0.125);
    BOOST_TEST(!allocated.entries[1].share.has_value());
    // Guards against a share that would let one instance use more than the whole quota.
    std::string faulty;
    report.entries[0].share = 1.5;
    encode_peer_message(faulty, report);
    BOOST_TEST(decode_peer_messages(faulty).has_error());
}

BOOST_AUTO_TEST_CASE(wait_for_the_rest_of_a_message)
{
    std::string bytes;
    encode_peer_message(bytes, admission_declined{service_id{"s"}, admission_id{9}});
    auto part = bytes.substr(0, bytes.size() - 1);
    BOOST_TEST(decode_peer_messages(part).value().empty());
    part += bytes.back();
    BOOST_TEST(decode_peer_messages(part).value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_rejected_when_they_are_malformed)
{
    for (std::string bytes :
         {std::string("\x02\0\0\0\x91\x63", 6), std::string("\x01\0\0\0\xc1", 5),
          std::string("\xff\xff\xff\x7f", 4)}) {
        BOOST_TEST(decode_peer_messages(bytes).has_error());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
