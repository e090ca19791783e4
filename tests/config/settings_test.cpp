#include "config/settings.h"
#include "config/units.h"
#include "core/random.h"

#include <boost/test/unit_test.hpp>

using namespace cornelswitch;

namespace {

const std::string minimal = R"(instance: i1
zone: a
listen: {caller: "0.0.0.0:80", data: 127.0.0.1:81, control: 127.0.0.1:82, operator: 127.0.0.1:83}
advertise: {caller: 127.0.0.9:80}
platform: 127.0.0.1:7000
)";

auto problems_of(const std::string& text) -> std::string
{
    auto out = read_settings(text, "d.yaml");
    return out.has_error() ? to_text(out.error()) : "";
}

auto contains(const std::string& text, const char* part) -> bool
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_of_an_instance)

// Guards against an example file with which the daemon does not start.
BOOST_AUTO_TEST_CASE(the_example_is_valid)
{
    auto out = read_settings_file(std::string{CORNELSWITCH_SOURCE_DIR} + "/examples/daemon.yaml");
    BOOST_REQUIRE(out.has_value());
    BOOST_TEST(out.value().advertise.control.to_text() == "127.0.0.1:8082");
}

// Guards against advertised addresses that are not reachable, such as 0.0.0.0.
BOOST_AUTO_TEST_CASE(advertised_addresses_default_to_the_listen_addresses)
{
    auto out = read_settings(minimal, "d.yaml").value();
    BOOST_TEST(out.advertise.caller.to_text() == "127.0.0.9:80");
    BOOST_TEST(out.advertise.data.to_text() == "127.0.0.1:81");
    auto without = minimal.substr(0, minimal.find("advertise")) + "platform: 127.0.0.1:7000\n";
    BOOST_TEST(contains(problems_of(without), "the listen address is 0.0.0.0"));
}

// Guards against invalid settings that are detected only after the daemon has started.
BOOST_AUTO_TEST_CASE(problems_are_all_reported_with_their_location)
{
    auto text = problems_of(minimal + "log: {level: loud, output: ''}\nentry_threads: 0\n"
                                      "limits: {requests: many, shutdown_timeout: 5}\nextra: 1\n");
    BOOST_TEST(contains(text, "d.yaml:6: log.level: found \"loud\", allowed: debug, info"));
    BOOST_TEST(contains(text, "log.output"));
    BOOST_TEST(contains(text, "entry_threads: found \"0\", allowed: an integer from 1 to 64"));
    BOOST_TEST(contains(text, "limits.requests"));
    BOOST_TEST(contains(text, "limits.shutdown_timeout"));
    BOOST_TEST(contains(text, "\"extra\": found unknown field"));
    BOOST_TEST(contains(problems_of("instance: i1\n"), "platform: found nothing"));
    BOOST_TEST(contains(problems_of("- 1\n"), "a map with the fields"));
}

// Guards against exceptions and crashes when the file is damaged.
BOOST_AUTO_TEST_CASE(damaged_files_never_throw)
{
    random_engine engine{7};
    for (auto round = 0; round < 3000; ++round) {
        auto text = minimal;
        for (auto n = uniform_below(engine, 5); n > 0; --n) {
            auto at = uniform_below(engine, text.size());
            text[at] = static_cast<char>(uniform_below(engine, 256));
        }
        auto out = read_settings(text, "d.yaml");
        BOOST_TEST((out.has_value() || !out.error().empty()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(values_with_units)

// Guards against overflow and against text that is read as a different value.
BOOST_AUTO_TEST_CASE(are_read_exactly_or_rejected)
{
    BOOST_TEST((parse_duration("600ms") == std::chrono::milliseconds{600}));
    BOOST_TEST((parse_duration("5min") == std::chrono::minutes{5}));
    BOOST_TEST(duration_text(std::chrono::milliseconds{1500}) == "1500ms");
    BOOST_TEST(duration_text(duration::zero()) == "0us");
    BOOST_TEST(size_text(3U << 20U) == "3MiB");
    for (const auto* text : {"", "ms", "1", "1 s", "-1s", "1.5s", "1S", "99999999999999999999s",
                             "9999999999h", "0x1s", "+1s"}) {
        BOOST_TEST(!parse_duration(text).has_value(), text);
    }
    for (const auto* text : {"", "1:2", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                             "127.0.0.1:1x", "127.0.0.256:1", "::1:80", "127.0.0.1:-1"}) {
        BOOST_TEST(!parse_endpoint(text).has_value(), text);
    }
    BOOST_TEST(!parse_size("99999999999GiB").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
