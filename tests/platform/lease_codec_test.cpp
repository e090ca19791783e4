#include "platform/lease_codec.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(a_lease_call)

BOOST_AUTO_TEST_CASE(passes_the_handover_of_the_previous_owner_on)
{
    http_response response;
    response.head.status = 200;
    response.head.headers = {{"x-handover", "5c0e7a21"}};
    auto handover = lease_codec::decode_release(response).value();
    auto request = lease_codec::grant_request(server_id{"a"}, {4, 9}, 12, seconds{4}, handover);
    BOOST_TEST(request.body.find("\"Handover\":\"5c0e7a21\"") != std::string::npos);
}

// Guards against the end of the process when a server sends bytes as handover that no JSON text can
// hold.
BOOST_AUTO_TEST_CASE(leaves_out_a_handover_that_is_not_printable)
{
    for (const auto* value : {"\xff\xfe", "5c\x01", "\xc3"}) {
        http_response response;
        response.head.status = 200;
        response.head.headers = {{"x-handover", value}};
        auto handover = lease_codec::decode_release(response).value();
        auto request = lease_codec::grant_request(server_id{"a"}, {4, 9}, 12, seconds{4}, handover);
        BOOST_TEST(request.body.find("Handover") == std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
