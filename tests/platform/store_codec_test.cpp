#include "adapters/base64.h"
#include "platform/lease_codec.h"
#include "platform/store_codec.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace std::string_literals;
using std::chrono::milliseconds;

auto make_response(int status, std::string body) -> http_response
{
    http_response out;
    out.head.status = status;
    out.body = std::move(body);
    return out;
}

const std::string read_response_header = "\0\0\0\0\0\0\0\x09\0\0\0\0\0\0\0\x02"s;

BOOST_AUTO_TEST_SUITE(store_read)

BOOST_AUTO_TEST_CASE(returns_records_with_their_offsets)
{
    auto body = read_response_header + "\0\0\0\x04\x01kab"s + "\0\0\0\x02\x01m"s;
    auto page = store_codec::decode_read(make_response(200, body), log_offset{5});
    BOOST_REQUIRE(page.has_value());
    BOOST_REQUIRE(page.value().records.size() == 2U);
    BOOST_TEST(page.value().records[0].key == "k");
    BOOST_TEST(page.value().records[0].value == "ab");
    BOOST_TEST(page.value().records[1].value.empty());
    BOOST_TEST(page.value().records[1].offset.value() == 6U);
    BOOST_TEST(page.value().end.value() == 7U);
}

BOOST_AUTO_TEST_CASE(counts_the_offset_of_a_record_with_a_malformed_key)
{
    auto body = read_response_header + "\0\0\0\x02\x09k"s + "\0\0\0\x02\x01m"s;
    auto page = store_codec::decode_read(make_response(200, body), log_offset{5});
    BOOST_REQUIRE(page.value().records.size() == 1U);
    BOOST_TEST(page.value().records[0].offset.value() == 6U);
}

BOOST_AUTO_TEST_CASE(reports_deleted_records_as_not_found)
{
    auto deleted = store_codec::decode_read(make_response(410, "{}"), log_offset{0});
    BOOST_TEST((deleted.error().code == error_code::not_found));
    // The first retained offset is 2.
    auto too_old =
        store_codec::decode_read(make_response(200, read_response_header), log_offset{1});
    BOOST_TEST((too_old.error().code == error_code::not_found));
}

BOOST_AUTO_TEST_CASE(is_an_error_when_it_is_rejected_or_truncated)
{
    BOOST_TEST((store_codec::decode_read(make_response(503, ""), log_offset{0}).error().code ==
                error_code::unavailable));
    BOOST_TEST(store_codec::decode_read(make_response(200, "short"), log_offset{0}).has_error());
    auto truncated = read_response_header + "\0\0\0\x09\x01k"s;
    BOOST_TEST(store_codec::decode_read(make_response(200, truncated), log_offset{5}).has_error());
}

BOOST_AUTO_TEST_CASE(requests_long_polling_only_for_a_nonzero_time)
{
    BOOST_TEST(store_codec::read_request("t", log_offset{3}, milliseconds{0}).path ==
               "/-/log-read?Topic=t&part=0&FromRev=3");
    BOOST_TEST(store_codec::read_request("t", log_offset{3}, milliseconds{20})
                   .path.ends_with("&WaitMs=20"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(newest_records)

BOOST_AUTO_TEST_CASE(are_decoded_from_base64)
{
    auto body = R"({"items":[{"Key":"k","Value":")" + encode_base64("ab") +
                R"(","Offset":4}],"HasMore":true,"EndOffset":6})";
    auto page = store_codec::decode_snapshot(make_response(200, body));
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().records.at(0).value == "ab");
    BOOST_TEST(page.value().has_more);
    BOOST_TEST(page.value().end.value() == 6U);
}

BOOST_AUTO_TEST_CASE(are_an_error_when_a_field_is_missing_or_malformed)
{
    for (const auto* body :
         {"", "{}", R"({"items":[],"HasMore":false})", R"({"items":{},"EndOffset":1})",
          R"({"items":[{"Key":"k","Value":"","Offset":"4"}],"EndOffset":6})",
          R"({"items":[{"Key":"k","Value":"*","Offset":4}],"EndOffset":6})"}) {
        BOOST_TEST(store_codec::decode_snapshot(make_response(200, body)).has_error());
    }
}

BOOST_AUTO_TEST_CASE(continue_after_an_escaped_key)
{
    BOOST_TEST(store_codec::snapshot_request("t", "a b&c").path.ends_with("&after=a%20b%26c"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_append)

BOOST_AUTO_TEST_CASE(encodes_its_condition_and_one_record_with_its_length)
{
    auto request = store_codec::append_request("t", log_offset{4}, "k", "ab");
    BOOST_TEST(request.path == "/-/log-append?Topic=t&part=0&AsOf=4");
    BOOST_TEST(request.body == "\0\0\0\x04\x01kab"s);
}

BOOST_AUTO_TEST_CASE(distinguishes_a_failed_condition_from_an_error)
{
    auto stored = store_codec::decode_append(make_response(200, R"({"Offset":4,"EndOffset":5})"));
    BOOST_TEST(stored.value().is_stored);
    BOOST_TEST(stored.value().end.value() == 5U);
    auto outdated = store_codec::decode_append(make_response(412, R"({"EndOffset":9})"));
    BOOST_TEST(!outdated.value().is_stored);
    BOOST_TEST(store_codec::decode_append(make_response(507, "")).has_error());
    BOOST_TEST(store_codec::decode_append(make_response(200, "{}")).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(lists_the_partitions_assigned_to_the_member)
{
    auto joined = store_codec::decode_join(make_response(
        200, R"({"Generation":7,"Ttl_time":"3000ms","parts":[["work",3,840],["work",5,0]]})"));
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined.value().generation == 7U);
    BOOST_TEST(joined.value().partitions.size() == 2U);
    BOOST_TEST(joined.value().partitions[1] == 5U);
}

BOOST_AUTO_TEST_CASE(is_an_error_when_it_is_rejected_or_malformed)
{
    for (const auto* body : {"{}", R"({"Generation":"x","parts":[]})",
                             R"({"Generation":1,"parts":[["work"]]})", "nonsense"}) {
        BOOST_TEST(store_codec::decode_join(make_response(200, body)).has_error());
    }
    BOOST_TEST(
        (store_codec::decode_join(make_response(409, "")).error().code == error_code::conflict));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(key_lease)

BOOST_AUTO_TEST_CASE(encodes_keys_fencing_token_and_expected_server)
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

BOOST_AUTO_TEST_CASE(maps_statuses_of_a_rejected_grant_to_errors)
{
    BOOST_TEST(lease_codec::decode_grant(make_response(200, "")).has_value());
    BOOST_TEST(
        (lease_codec::decode_grant(make_response(409, "")).error().code == error_code::conflict));
    BOOST_TEST(
        (lease_codec::decode_grant(make_response(421, "")).error().code == error_code::not_found));
    BOOST_TEST((lease_codec::decode_grant(make_response(400, "")).error().code ==
                error_code::unavailable));
}

// Guards against an era that is read from half a number or that does not fit into a token.
BOOST_AUTO_TEST_CASE(names_the_era_of_the_store)
{
    auto era = [](const std::string& text) {
        auto response = make_response(200, "");
        response.head.headers.push_back({"store-era", text});
        return store_codec::decode_era(response);
    };
    BOOST_TEST(!store_codec::decode_era(make_response(200, "")).value().has_value());
    BOOST_TEST((era("12").value() == store_era{12}));
    for (const auto* malformed :
         {"", "x", "1x", "-1", "1.5", " 1", "18446744073709551616", "8388608"}) {
        BOOST_TEST(era(malformed).has_error());
    }
}

BOOST_AUTO_TEST_CASE(returns_a_handover_token_on_release)
{
    auto released = make_response(200, "");
    released.head.headers.push_back({"x-handover", "5c0e"});
    BOOST_TEST(lease_codec::decode_release(released).value() == "5c0e");
    BOOST_TEST(lease_codec::decode_release(make_response(200, "")).value().empty());
    BOOST_TEST(lease_codec::decode_release(make_response(503, "")).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
