#include "gateway/peer_message.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(messages_between_instances)

BOOST_AUTO_TEST_CASE(survive_their_encoding_in_order)
{
    admission_query query;
    query.service = service_id{"s"};
    query.id = admission_id{9};
    query.key = 41'210;
    query.work = work_class{7};
    query.is_bulky = true;
    query.objective_left = milliseconds{-5};
    query.excluded = {server_id{"a"}, server_id{"b"}};
    admission_answer answer{service_id{"s"},
                            admission_id{9},
                            admission_outcome::refuse,
                            server_id{},
                            refusal_cause::overload,
                            milliseconds{120},
                            14,
                            milliseconds{300}};
    std::string bytes;
    encode_peer_message(bytes, peer_hello{instance_id{"i1"}, boot_id{5}, zone_id{"z1"}});
    encode_peer_message(bytes, query);
    encode_peer_message(bytes, answer);
    encode_peer_message(bytes, role_stopped{service_id{"s"},
                                            lease_term{3},
                                            lease_term{2},
                                            {{{7, 65'535},
                                              server_id{"a"},
                                              1'700'000'000'123,
                                              milliseconds{40},
                                              milliseconds{-5}}}});
    encode_peer_message(bytes, peer_ping{});
    encode_peer_message(bytes, topic_news{shared_topic::operators,
                                          log_offset{3},
                                          log_offset{5},
                                          milliseconds{7},
                                          {{"k", "v"}, {"gone", ""}}});
    auto read = decode_peer_messages(bytes);
    BOOST_REQUIRE(read.has_value());
    BOOST_REQUIRE(read.value().size() == 6U);
    BOOST_TEST(std::get<peer_hello>(read.value()[0]).zone.value() == "z1");
    const auto& back = std::get<admission_query>(read.value()[1]);
    BOOST_TEST(*back.key == 41'210);
    BOOST_TEST((back.objective_left == milliseconds{-5}));
    BOOST_TEST(back.excluded.size() == 2U);
    const auto& refused = std::get<admission_answer>(read.value()[2]);
    BOOST_TEST((refused.cause == refusal_cause::overload));
    BOOST_TEST(refused.queue_length == 14U);
    const auto& stopped = std::get<role_stopped>(read.value()[3]);
    BOOST_TEST(stopped.term.value() == 3U);
    BOOST_TEST(stopped.last_term.value() == 2U);
    BOOST_REQUIRE(stopped.ranges.size() == 1U);
    BOOST_TEST(
        (stopped.ranges[0] ==
         transferred_range{
             {7, 65'535}, server_id{"a"}, 1'700'000'000'123, milliseconds{40}, milliseconds{-5}}));
    BOOST_TEST(std::holds_alternative<peer_ping>(read.value()[4]));
    const auto& news = std::get<topic_news>(read.value()[5]);
    BOOST_TEST(news.end.value() == 5U);
    BOOST_TEST(news.records.at(1).first == "gone");
    BOOST_TEST(bytes.empty());
}

BOOST_AUTO_TEST_CASE(wait_for_the_rest_of_a_message)
{
    std::string bytes;
    encode_peer_message(bytes, not_coordinator{service_id{"s"}});
    auto part = bytes.substr(0, bytes.size() - 1);
    BOOST_TEST(decode_peer_messages(part).value().empty());
    part += bytes.back();
    BOOST_TEST(decode_peer_messages(part).value().size() == 1U);
}

BOOST_AUTO_TEST_CASE(are_an_error_when_they_cannot_be_read)
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
