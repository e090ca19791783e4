#include "adapters/log4cxx/json_logger.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

using namespace cornelswitch;

namespace {

auto lines_of(const std::string& path) -> std::vector<std::string>
{
    std::vector<std::string> out;
    std::ifstream in{path};
    for (std::string line; std::getline(in, line);) {
        out.push_back(line);
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(a_json_logger)

// Guards against lines that a JSON reader rejects, for example after a control character, a quote
// or a truncated UTF-8 sequence in a peer's message.
BOOST_AUTO_TEST_CASE(writes_one_valid_object_per_line)
{
    settings options;
    options.instance = instance_id{"i1"};
    options.zone = zone_id{"a"};
    options.log_output = "json_logger_test.log";
    std::remove(options.log_output.c_str());
    {
        auto log = json_logger::open(options).value();
        log->log(log_level::debug, "skipped", "", "below the lowest level");
        log->log(log_level::info, "lease-renewal", "10.0.0.1:1", "plain");
        log->log(log_level::warning, "s", "", "quote \" slash \\ line\nbreak \x01 \xc3");
        log->log(log_level::error, "s", "p", std::string(10'000, 'x'));
    }
    auto lines = lines_of(options.log_output);
    std::remove(options.log_output.c_str());
    BOOST_REQUIRE(lines.size() == 3U);
    auto first = nlohmann::json::parse(lines[0]);
    BOOST_TEST(first["message"] == "plain");
    BOOST_TEST(first["level"] == "INFO");
    BOOST_TEST(first.contains("timestamp"));
    auto fields = first["context_map"];
    BOOST_TEST(fields["instance"] == "i1");
    BOOST_TEST(fields["zone"] == "a");
    BOOST_TEST(fields["step"] == "lease-renewal");
    BOOST_TEST(fields["peer"] == "10.0.0.1:1");
    auto second = nlohmann::json::parse(lines[1]);
    BOOST_TEST(second["message"] == "quote \" slash \\ line\nbreak \x01 ?");
    auto third = nlohmann::json::parse(lines[2]);
    BOOST_TEST(third["message"].get<std::string>().size() == json_logger::max_message_bytes);
}

// Guards against a daemon that runs without a log because its file cannot be written.
BOOST_AUTO_TEST_CASE(refuses_a_file_that_cannot_be_opened)
{
    settings options;
    options.log_output = "/nonexistent/folder/log";
    BOOST_TEST(json_logger::open(options).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
