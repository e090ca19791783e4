#include "adapters/base64.h"
#include "platform/lease_codec.h"
#include "platform/store_codec.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace std::string_literals;
using std::chrono::milliseconds;

auto answer(int status, std::string body) -> http_response
{
    http_response out;
    out.head.status = status;
    out.body = std::move(body);
    return out;
}

const std::string head_of_read = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02"s;

BOOST_AUTO_TEST_SUITE(a_read_of_the_store)

BOOST_AUTO_TEST_CASE(gives_records_with_their_offsets)
{
    auto body = head_of_read + "\0\0\0\x04\x01kab"s + "\0\0\0\x02\x01m"s;
    auto page = store_codec::decode_read(answer(200, body), log_offset{5});
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page.value().records.size() == 2U);
    BOOST_TEST(page.value().records[0].key == "k");
    BOOST_TEST(page.value().records[0].value == "ab");
    BOOST_TEST(page.value().records[1].value.empty());
    BOOST_TEST(page.value().records[1].offset.value() == 6U);
    BOOST_TEST(page.value().end.value() == 7U);
}

BOOST_AUTO_TEST_CASE(counts_a_record_whose_key_cannot_be_read)
{
    auto body = head_of_read + "\0\0\0\x02\x09k"s + "\0\0\0\x02\x01m"s;
    auto page = store_codec::decode_read(answer(200, body), log_offset{5});
    BOOST_REQUIRE(page.value().records.size() == 1U);
    BOOST_TEST(page.value().records[0].offset.value() == 6U);
}

BOOST_AUTO_TEST_CASE(says_that_records_were_deleted)
{
    auto gone = store_codec::decode_read(answer(410, "{}"), log_offset{0});
    BOOST_TEST((gone.error().code == error_code::not_found));
    // The first retained offset is 2.
    auto cut = store_codec::decode_read(answer(200, head_of_read), log_offset{1});
    BOOST_TEST((cut.error().code == error_code::not_found));
}

BOOST_AUTO_TEST_CASE(is_an_error_when_it_is_refused_or_cut_short)
{
    BOOST_TEST((store_codec::decode_read(answer(503, ""), log_offset{0}).error().code ==
                error_code::unavailable));
    BOOST_TEST(store_codec::decode_read(answer(200, "short"), log_offset{0}).has_error());
    auto cut = head_of_read + "\0\0\0\x09\x01k"s;
    BOOST_TEST(store_codec::decode_read(answer(200, cut), log_offset{5}).has_error());
}

BOOST_AUTO_TEST_CASE(asks_for_a_wait_only_when_there_is_one)
{
    BOOST_TEST(store_codec::read_request("t", log_offset{3}, milliseconds{0}).path ==
               "/-/log-read?Topic=t&part=0&FromRev=3");
    BOOST_TEST(store_codec::read_request("t", log_offset{3}, milliseconds{20})
                   .path.ends_with("&WaitMs=20"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(the_newest_records)

BOOST_AUTO_TEST_CASE(are_decoded_from_base64)
{
    auto body = R"({"items":[{"Key":"k","Value":")" + encode_base64("ab") +
                R"(","Offset":4}],"HasMore":true,"EndOffset":6})";
    auto page = store_codec::decode_newest(answer(200, body));
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().records.at(0).value == "ab");
    BOOST_TEST(page.value().has_more);
    BOOST_TEST(page.value().end.value() == 6U);
}

BOOST_AUTO_TEST_CASE(are_an_error_when_a_field_is_missing_or_of_another_type)
{
    for (const auto* body :
         {"", "{}", R"({"items":[],"HasMore":false})", R"({"items":{},"EndOffset":1})",
          R"({"items":[{"Key":"k","Value":"","Offset":"4"}],"EndOffset":6})",
          R"({"items":[{"Key":"k","Value":"*","Offset":4}],"EndOffset":6})"}) {
        BOOST_TEST(store_codec::decode_newest(answer(200, body)).has_error());
    }
}

BOOST_AUTO_TEST_CASE(continue_after_an_escaped_key)
{
    BOOST_TEST(store_codec::newest_request("t", "a b&c").path.ends_with("&after=a%20b%26c"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(an_append)

BOOST_AUTO_TEST_CASE(carries_its_condition_and_one_framed_record)
{
    auto request = store_codec::append_request("t", log_offset{4}, "k", "ab");
    BOOST_TEST(request.path == "/-/log-append?Topic=t&part=0&AsOf=4");
    BOOST_TEST(request.body == "\0\0\0\x04\x01kab"s);
}

BOOST_AUTO_TEST_CASE(tells_a_failed_condition_from_a_refusal)
{
    auto stored = store_codec::decode_append(answer(200, R"({"Offset":4,"EndOffset":5})"));
    BOOST_TEST(stored.value().is_stored);
    BOOST_TEST(stored.value().end.value() == 5U);
    auto late = store_codec::decode_append(answer(412, R"({"EndOffset":9})"));
    BOOST_TEST(!late.value().is_stored);
    BOOST_TEST(store_codec::decode_append(answer(507, "")).has_error());
    BOOST_TEST(store_codec::decode_append(answer(200, "{}")).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_membership)

BOOST_AUTO_TEST_CASE(lists_the_partitions_of_the_member)
{
    auto joined = store_codec::decode_join(answer(
        200, R"({"Generation":7,"Ttl_time":"3000ms","parts":[["work",3,840],["work",5,0]]})"));
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined.value().generation == 7U);
    BOOST_TEST(joined.value().partitions.size() == 2U);
    BOOST_TEST(joined.value().partitions[1] == 5U);
}

BOOST_AUTO_TEST_CASE(is_an_error_when_it_is_refused_or_malformed)
{
    for (const auto* body : {"{}", R"({"Generation":"x","parts":[]})",
                             R"({"Generation":1,"parts":[["work"]]})", "nonsense"}) {
        BOOST_TEST(store_codec::decode_join(answer(200, body)).has_error());
    }
    BOOST_TEST((store_codec::decode_join(answer(409, "")).error().code == error_code::conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(a_lease_of_keys)

BOOST_AUTO_TEST_CASE(names_keys_token_and_the_server_that_may_take_it)
{
    auto request =
        lease_codec::grant_request(server_id{"i-1"}, {4096, 8191}, 12, milliseconds{4000}, "ab");
    BOOST_TEST(request.path == "/-/grant");
    BOOST_TEST(request.body ==
               R"({"FromRev":4096,"Handover":"ab","Hold":"4000ms","To":8191,"fence":12})");
    BOOST_TEST(*find_header(request.headers, "x-expect-instance") == "i-1");
    auto release = lease_codec::release_request(server_id{"i-1"}, {4096, 8191}, 13);
    BOOST_TEST(release.body == R"({"FromRev":4096,"To":8191,"fence":13})");
}

BOOST_AUTO_TEST_CASE(tells_the_reasons_of_a_refusal_apart)
{
    BOOST_TEST(lease_codec::decode_grant(answer(200, "")).has_value());
    BOOST_TEST((lease_codec::decode_grant(answer(409, "")).error().code == error_code::conflict));
    BOOST_TEST((lease_codec::decode_grant(answer(421, "")).error().code == error_code::not_found));
    BOOST_TEST(
        (lease_codec::decode_grant(answer(400, "")).error().code == error_code::unavailable));
}

BOOST_AUTO_TEST_CASE(comes_back_with_a_handover_token)
{
    auto released = answer(200, "");
    released.head.headers.push_back({"x-handover", "5c0e"});
    BOOST_TEST(lease_codec::decode_release(released).value() == "5c0e");
    BOOST_TEST(lease_codec::decode_release(answer(200, "")).value().empty());
    BOOST_TEST(lease_codec::decode_release(answer(503, "")).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
