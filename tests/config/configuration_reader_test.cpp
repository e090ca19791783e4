#include "config/configuration_reader.h"
#include "config/configuration_writer.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

const std::string examples = std::string{CORNELSWITCH_SOURCE_DIR} + "/examples/";

/// A small valid file, of which tests replace a part.
const std::string small_file = R"(zones: [a, b]
profiles:
  - name: p
    default_deadline: 600ms
    max_deadline: 2s
services:
  - name: s
    profile: p
    servers:
      - {id: s1, zone: a, address: 127.0.0.1:9001, concurrency: 2, connections: 10}
      - {id: s2, zone: b, address: 127.0.0.1:9002}
out: {zones: [b], stopped_zones: [b], servers: [s1], instances: [i7]}
)";

auto replaced(std::string text, const std::string& from, const std::string& to) -> std::string
{
    auto at = text.find(from);
    BOOST_REQUIRE_MESSAGE(at != std::string::npos, from);
    return text.replace(at, from.size(), to);
}

auto problem_text(const checked<configuration>& it) -> std::string
{
    return it.has_error() ? to_text(it.error()) : "";
}

/// Problems of the small file with `from` replaced by `to`.
auto problems_with(const std::string& from, const std::string& to) -> std::string
{
    auto out = read_configuration(replaced(small_file, from, to), "f.yaml");
    return problem_text(out);
}

auto loaded(const std::string& name) -> configuration
{
    auto out = read_configuration_file(examples + name);
    BOOST_REQUIRE_MESSAGE(out.has_value(), problem_text(out));
    return out.value();
}

auto server_count(const configuration& it, const char* service) -> std::size_t
{
    const auto* found = it.find_service(service_id{service});
    return found == nullptr ? 0 : found->servers.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_published_configuration)

BOOST_AUTO_TEST_SUITE(when_the_file_is_valid)

// Guards against fields that the reader discards, and against written text that it does not accept.
BOOST_AUTO_TEST_CASE(is_the_same_after_writing_and_reading)
{
    auto first = read_configuration(small_file, "f.yaml").value();
    BOOST_TEST(first.services[0].servers[0].concurrency == 2U);
    BOOST_TEST(
        (first.find_profile(profile_id{"p"})->default_deadline == std::chrono::milliseconds{600}));
    BOOST_TEST(first.out_of_service.servers.contains(server_id{"s1"}));
    first.profiles[0].yield_after = std::chrono::seconds{90};
    first.profiles[0].straggler_factor = 2.7;
    for (const auto& it : {first, loaded("hengyu.yaml"), loaded("mwangaza.yaml")}) {
        auto again = read_configuration(write_configuration(it), "g.yaml");
        BOOST_REQUIRE_MESSAGE(again.has_value(), problem_text(again));
        BOOST_TEST((again.value() == it));
    }
}

// Guards against examples whose figures differ from those in the design documentation.
BOOST_AUTO_TEST_CASE(the_examples_match_both_deployments)
{
    auto hengyu = loaded("hengyu.yaml");
    auto mwangaza = loaded("mwangaza.yaml");
    BOOST_TEST(hengyu.zones.size() == 4U);
    BOOST_TEST(mwangaza.zones.size() == 3U);
    BOOST_TEST(server_count(hengyu, "catalogue") == 20U);
    BOOST_TEST(server_count(hengyu, "reservation") == 8U);
    BOOST_TEST(server_count(hengyu, "scans") == 8U);
    BOOST_TEST(server_count(mwangaza, "roster") == 16U);
    BOOST_TEST(server_count(mwangaza, "booking") == 10U);
    BOOST_TEST(server_count(mwangaza, "schedules") == 6U);
    BOOST_TEST(hengyu.services[0].servers[0].concurrency == 2U);
    BOOST_TEST(mwangaza.services[0].servers[0].concurrency == 6U);
    const auto* averse = hengyu.find_profile(profile_id{"churn-averse"});
    const auto* tail = mwangaza.find_profile(profile_id{"tail-averse"});
    BOOST_TEST(averse->move_price_percent > tail->move_price_percent);
    BOOST_TEST(averse->hedge_budget_percent == 0U);
    BOOST_TEST(tail->hedge_budget_percent == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_file_is_invalid)

// Guards against an invalid value that is accepted, or reported without its location and the valid
// values.
BOOST_AUTO_TEST_CASE(reports_line_field_value_and_valid_values)
{
    BOOST_TEST(problems_with("concurrency: 2", "concurrency: 0") ==
               "f.yaml:10: services[0].servers[0].concurrency: found \"0\", allowed: an integer "
               "from 1 to 100000\n");
    BOOST_TEST(problems_with("600ms", "600") ==
               "f.yaml:4: profiles[0].default_deadline: found \"600\", allowed: a duration with "
               "unit (us, ms, s, min, h) from 1ms to 10min\n");
}

/// Replacement of `from` by `to` in the small file; `expected` is a part of the resulting report.
struct invalid_edit {
    const char* from;
    const char* to;
    const char* expected;
};

// Guards against publishing an invalid configuration to the whole deployment; has one case for each
// kind of problem.
BOOST_AUTO_TEST_CASE(reports_every_kind_of_problem)
{
    const invalid_edit edits[] = {
        {"connections: 10", "conections: 10", "unknown field"},
        {"connections: 10", "connections: 1", "at least the concurrency of 2"},
        {"connections: 10", "connections: [1]", "a list of 1"},
        {"127.0.0.1:9001", "127.0.0.1:0", "\"127.0.0.1:0\""},
        {"127.0.0.1:9001", "0.0.0.0:9001", "other than 0.0.0.0"},
        {"127.0.0.1:9001", "localhost:9001", "IPv4:PORT"},
        {"127.0.0.1:9001", "127.0.0.1:9002", "already defined in line 10"},
        {"id: s1", "id: s2", "each server once"},
        {"id: s1", "id: ../x", "first a letter or digit"},
        {"id: s1, ", "", "services[0].servers[0].id: found nothing"},
        {"zone: a", "zone: c", "a zone that the file defines"},
        {"profile: p", "profile: q", "a profile that the file defines"},
        {"profile: p", "profile: p\n    hash_slots: 65537", "from 1 to 65536"},
        {"profile: p", "profile: p\n    keyed: yes", "true or false"},
        {"profile: p", "profile: p\n    idempotent_methods: [get]", "in capitals"},
        {"profile: p", "profile: p\n    max_request_body: 1TB", "a size in bytes"},
        {"profile: p", "profile: p\n    profile: p", "a second time"},
        {"600ms", "3s", "at most the max_deadline of 2s"},
        {"600ms", "600ms\n    yield_after: 1ms", "from 1s"},
        {"600ms", "600ms\n    straggler_factor: nan", "a number from 1.1"},
        {"[a, b]", "[a, a, b]", "each zone once"},
        {"[a, b]", "[]", "a list of 1 to 64"},
        {"servers: [s1]", "servers: [s9]", "a server that the file defines"},
        {"zones: [b], ", "", "only in stopped_zones"},
        {"out: {", "out: {{", "valid YAML"},
        {"zones: [a, b]\n", "", "zones: found nothing"},
    };
    for (const auto& it : edits) {
        auto text = problems_with(it.from, it.to);
        BOOST_TEST(text.find(it.expected) != std::string::npos, it.to << " gave: " << text);
    }
    BOOST_TEST(read_configuration("", "f.yaml").has_error());
    BOOST_TEST(read_configuration_file(examples + "absent.yaml").has_error());
}

// Guards against a reader that stops at the first problem, so that operators need one attempt to
// publish per problem.
BOOST_AUTO_TEST_CASE(reports_all_problems_at_once)
{
    auto text = replaced(replaced(small_file, "id: s1", "id: s2"), "profile: p", "profile: q");
    auto out = read_configuration(replaced(text, "600ms", "-1s"), "f.yaml");
    BOOST_TEST(out.error().size() == 4U); // The drained server s1 is unknown as well.
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(when_the_file_is_random)

// Guards against crashes, exceptions and misread text: every accepted configuration must be the
// same after writing and reading.
BOOST_AUTO_TEST_CASE(is_rejected_or_read_completely)
{
    random_engine engine{20240607};
    const std::string alphabet = "{}[]:,-#&*!|>'\"%@` \n\tab01.?~<=";
    std::size_t accepted = 0;
    for (auto round = 0; round < 6000; ++round) {
        auto text = round % 4 == 0 ? std::string{} : small_file;
        auto edits = 1 + uniform_below(engine, round % 4 == 0 ? 60 : 4);
        for (auto n = edits; n > 0; --n) {
            auto at = uniform_below(engine, text.size() + 1);
            auto length = uniform_below(engine, 3);
            auto c = uniform_below(engine, 8) == 0
                         ? static_cast<char>(uniform_below(engine, 256))
                         : alphabet[uniform_below(engine, alphabet.size())];
            text.replace(at, length, std::string(uniform_below(engine, 3), c));
        }
        auto out = read_configuration(text, "f.yaml");
        if (out.has_error()) {
            BOOST_TEST(!out.error().empty());
            continue;
        }
        ++accepted;
        auto again = read_configuration(write_configuration(out.value()), "g.yaml");
        BOOST_TEST((again.has_value() && again.value() == out.value()), text);
    }
    BOOST_TEST(accepted > 100U);
}

// Guards against stack overflow and alias expansion by malicious files.
BOOST_AUTO_TEST_CASE(with_deep_nesting_or_aliases_is_rejected)
{
    BOOST_TEST(read_configuration(std::string(200'000, '['), "f.yaml").has_error());
    BOOST_TEST(read_configuration(std::string(200'000, '{'), "f.yaml").has_error());
    BOOST_TEST(read_configuration(std::string(5U << 20U, ' '), "f.yaml").has_error());
    std::string text = "zones: &a0 [x, y]\n";
    for (auto n = 1; n < 40; ++n) {
        auto alias = "*a" + std::to_string(n - 1);
        text += "k" + std::to_string(n) + ": &a" + std::to_string(n) + " [" + alias + ", " + alias +
                "]\n";
    }
    BOOST_TEST(read_configuration(text, "f.yaml").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
