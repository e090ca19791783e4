#include "tests/gateway/workspace_fixture.h"

#include <boost/test/unit_test.hpp>

namespace cornelswitch {
namespace {

using namespace test;

BOOST_AUTO_TEST_SUITE(a_gateway)

BOOST_FIXTURE_TEST_SUITE(whose_configuration_holds_workspaces, gateway_with_workspaces)

BOOST_AUTO_TEST_CASE(refuses_requests_without_a_known_key)
{
    start_with(R"({"Name":"a","ApiKeys":["k1"]})");
    for (const auto* headers :
         {"", "Authorization: Bearer k2\r\n", "Authorization: Bearer \r\n", "Authorization: k1\r\n",
          "Authorization: Basic k1\r\n", "X-Tenant: a\r\n",
          "Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n"}) {
        BOOST_TEST_CONTEXT(headers)
        {
            BOOST_TEST(status_with("/read/1", headers) == "401");
        }
    }
    BOOST_TEST(status_with("/none/1", key("k1")) == "404");
    BOOST_TEST(plain_server_1.executed_request_ids.empty());
    BOOST_TEST(plain_server_2.executed_request_ids.empty());
}

BOOST_AUTO_TEST_CASE(tells_the_server_the_workspace_and_not_the_key)
{
    start_with(R"({"Name":"a","ApiKeys":["k1","k2"]},{"Name":"b","ApiKeys":["k3"]})");
    BOOST_TEST(status_with("/read/1", key("k2")) == "200");
    BOOST_TEST(last_workspace == "a");
    BOOST_TEST(!has_key_at_server);
    // A caller cannot name a workspace of its own choice.
    BOOST_TEST(status_with("/read/1", key("k3") + "X-Tenant: a\r\nx-tenant: c\r\n") == "200");
    BOOST_TEST(last_workspace == "b");
    BOOST_TEST(last_workspaces == 1U);
    BOOST_TEST(status_with("/read/1", "authorization: bearer  k1\r\n") == "200");
}

BOOST_AUTO_TEST_CASE(serves_public_routes_without_a_key)
{
    start_with(R"({"Name":"a","ApiKeys":["k1"]})");
    BOOST_TEST(status_with("/open/1", "") == "200");
    BOOST_TEST(status_with("/open/1", key("k1") + "X-Tenant: a\r\n") == "200");
    BOOST_TEST(last_workspaces == 0U);
    BOOST_TEST(!has_key_at_server);
}

BOOST_AUTO_TEST_CASE(applies_changed_keys_to_open_connections)
{
    start_with(R"({"Name":"a","ApiKeys":["k1"]})");
    auto connection = connect();
    auto exchange = [&](const std::string& id, const std::string& text) {
        connection->received.clear();
        connection->send(request("/read/1", id, key(text)));
        run_until([&] {
            connection->receive();
            return is_whole(connection->received);
        });
        return status(connection->received);
    };
    BOOST_TEST(exchange("c1", "k1") == "200");
    // The key moves to another workspace.
    publish(3, R"({"Name":"a","ApiKeys":["k2"]},{"Name":"b","ApiKeys":["k1"]})");
    run_until([&] { return status_with("/read/1", key("k2")) == "200"; });
    BOOST_TEST(exchange("c2", "k1") == "200");
    BOOST_TEST(last_workspace == "b");
    publish(4, R"({"Name":"a","ApiKeys":["k2"]})");
    run_until([&] { return status_with("/read/1", key("k1")) == "401"; });
    BOOST_TEST(exchange("c3", "k1") == "401");
}

BOOST_AUTO_TEST_CASE(keeps_the_version_in_force_when_the_next_one_is_invalid)
{
    start_with(R"({"Name":"a","ApiKeys":["k1"]})");
    publish(3, R"({"Name":"a","ApiKeys":["k2"]},{"Name":"b","ApiKeys":["k2"]})");
    run_for(milliseconds{600});
    BOOST_TEST(status_with("/read/1", key("k1")) == "200");
    BOOST_TEST(status_with("/read/1", key("k2")) == "401");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
