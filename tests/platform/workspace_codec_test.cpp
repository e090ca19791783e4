#include "platform/workspace_codec.h"

#include "platform/discovery_codec.h"
#include "tests/platform/platform_text.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace cornelswitch {
namespace {

auto decode(const std::string& text) -> result<std::vector<workspace_definition>>
{
    return decode_workspaces(nlohmann::json::parse(text));
}

auto error_of(const std::string& text) -> std::string
{
    auto decoded = decode(text);
    return decoded.has_error() ? decoded.error().message : "";
}

BOOST_AUTO_TEST_SUITE(workspaces_of_a_configuration)

BOOST_AUTO_TEST_CASE(are_decoded_into_their_fields)
{
    auto decoded = decode(
        R"([{"Name":"a","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":334,"Burst":20.5},{"Name":"b"}])");
    BOOST_REQUIRE(decoded.has_value());
    const auto& first = decoded.value().at(0);
    BOOST_TEST(first.content.name.value() == "a");
    BOOST_TEST(first.api_keys == (std::vector<std::string>{"k1", "k2"}));
    BOOST_TEST(first.content.priority.value_or(9) == 1U);
    BOOST_TEST((first.content.quota == request_quota{334, 20.5}));
    const auto& second = decoded.value().at(1);
    BOOST_TEST(!second.content.priority.has_value());
    BOOST_TEST(!second.content.quota.has_value());
}

BOOST_AUTO_TEST_CASE(have_no_quota_when_the_rate_is_zero)
{
    BOOST_TEST(!decode(R"([{"Name":"a","RatePerS":0,"Burst":5}])").value()[0].content.quota);
}

BOOST_AUTO_TEST_CASE(may_have_many_keys)
{
    nlohmann::json keys = nlohmann::json::array();
    for (int n = 0; n < 100'000; ++n) {
        keys.push_back("key" + std::to_string(n));
    }
    auto decoded = decode_workspaces({{{"Name", "a"}, {"ApiKeys", keys}}});
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value()[0].api_keys.size() == 100'000U);
}

// Guards against a configuration whose mistake opens or closes the door to the wrong caller.
BOOST_AUTO_TEST_CASE(are_rejected_with_the_place_of_the_error)
{
    const std::vector<std::pair<std::string, std::string>> cases{
        {R"({"Name":"a"})", "Tenants is not a list"},
        {R"([7])", "Tenants[0] is not"},
        {R"([{"ApiKeys":[]}])", "Tenants[0].Name"},
        {R"([{"Name":""}])", "Tenants[0].Name"},
        {R"([{"Name":"a"},{"Name":"a"}])", "Tenants[1].Name is used twice"},
        {R"([{"Name":"a","ApiKeys":"k"}])", "Tenants[0].ApiKeys is not a list"},
        {R"([{"Name":"a","ApiKeys":["k",""]}])", "Tenants[0].ApiKeys[1]"},
        {R"([{"Name":"a","ApiKeys":["k"]},{"Name":"b","ApiKeys":["l","k"]}])",
         "Tenants[1].ApiKeys[1] is used twice"},
        {R"([{"Name":"a","ApiKeys":["k\n"]}])", "Tenants[0].ApiKeys[0]"},
        {R"([{"Name":"a","Priority":-1}])", "Tenants[0].Priority"},
        {R"([{"Name":"a","RatePerS":"4"}])", "Tenants[0].RatePerS"},
        {R"([{"Name":"a","Burst":-1}])", "Tenants[0].Burst"},
        {R"([{"Name":"a","Color":"red"}])", "Tenants[0] has an unknown field Color"}};
    for (const auto& [text, place] : cases) {
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST(error_of(text).find(place) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(do_not_show_a_key_in_an_error)
{
    auto text = R"([{"Name":"a","ApiKeys":["secret1"]},{"Name":"b","ApiKeys":["secret1"]}])";
    BOOST_TEST(error_of(text).find("secret1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(make_the_whole_configuration_invalid)
{
    auto text = test::configuration_text(3, "");
    BOOST_TEST(!decode_configuration(text).value().workspaces.has_value());
    text.pop_back();
    BOOST_TEST(decode_configuration(text + R"(,"Tenants":[]})").value().workspaces.has_value());
    BOOST_TEST(decode_configuration(text + R"(,"Tenants":[{"Name":""}]})").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace cornelswitch
