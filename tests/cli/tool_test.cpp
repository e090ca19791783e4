#include "adapters/operator_json.h"
#include "cli/instance_commands.h"
#include "cli/tool.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace cornelswitch;

namespace {

struct tool_run {
    int code{0};
    std::string out;
    std::string err;
};

auto run(const std::vector<std::string>& words) -> tool_run
{
    std::ostringstream out;
    std::ostringstream err;
    auto code = run_tool(words, out, err);
    return {static_cast<int>(code), out.str(), err.str()};
}

const std::string examples = std::string{CORNELSWITCH_SOURCE_DIR} + "/examples/";

} // namespace

BOOST_AUTO_TEST_SUITE(the_tool)

// Guards against commands without help and against exit codes that differ from the documentation.
BOOST_AUTO_TEST_CASE(prints_help_for_every_command)
{
    auto overview = run({"--help"});
    BOOST_TEST(overview.code == 0);
    for (const auto* name : {"config check", "config publish", "config show", "zone out", "zone in",
                             "instance out", "instance in", "server drain", "server resume",
                             "status", "owner", "histograms", "log tail"}) {
        BOOST_TEST(overview.out.find(name) != std::string::npos, name);
        std::istringstream words{name};
        std::vector<std::string> line{std::istream_iterator<std::string>{words}, {}};
        line.emplace_back("--help");
        auto help = run(line);
        BOOST_TEST(help.code == 0, name);
        BOOST_TEST(help.out.find("Exit codes:") != std::string::npos, name);
    }
}

// Guards against an invalid command line that is executed in part.
BOOST_AUTO_TEST_CASE(rejects_invalid_command_lines)
{
    const std::vector<std::vector<std::string>> lines{
        {},
        {"foo"},
        {"config"},
        {"config", "publish"},
        {"owner", "s"},
        {"owner", "s", "k", "extra"},
        {"status", "--output", "xml"},
        {"status", "--unknown"},
        {"status", "--instance", "here"},
        {"config", "show", "--platform", "here"},
        {"config", "publish", examples + "hengyu.yaml", "--expect", "x"},
        {"log", "tail", "--stream", "other"},
        {"config", "check", examples + "absent.yaml"}};
    for (const auto& it : lines) {
        auto out = run(it);
        BOOST_TEST(out.code == 2, (it.empty() ? "" : it.front()) << ": " << out.out << out.err);
        BOOST_TEST(!(out.out + out.err).empty());
    }
}

// Guards against an exit code that does not distinguish an unreachable platform from a rejected
// change.
BOOST_AUTO_TEST_CASE(has_a_separate_exit_code_for_unreachable_peers)
{
    // Nothing listens on port 1 of the loopback address.
    BOOST_TEST(run({"status", "--instance", "127.0.0.1:1"}).code == 4);
    auto out = run({"config", "show", "--platform", "127.0.0.1:1", "--output", "json"});
    BOOST_TEST(out.code == 4);
    BOOST_TEST(out.err.find("\"code\":\"unavailable\"") != std::string::npos);
    BOOST_TEST(run({"config", "check", examples + "mwangaza.yaml"}).code == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(documents_for_operators)

// Guards against fields that are written but not read, and values that change in the round trip.
BOOST_AUTO_TEST_CASE(are_the_same_after_writing_and_reading)
{
    status_document status;
    status.instance = instance_id{"i1"};
    status.state = "serving";
    status.cell =
        cell_document{cell_id{3}, 7, {{instance_id{"i2"}, 40}, {instance_id{"i3"}, {}}}, true};
    status.servers.push_back({server_id{"s1"}, service_id{"s"}, zone_id{"a"}, lease_term{5},
                              "serving", 400, 12, 1, 0, 2, true, false});
    status.problems.emplace_back("log unreachable for 12 s");
    auto text = to_json_text(status);
    BOOST_TEST(to_json_text(parse_status(text).value()) == text);
    BOOST_TEST(status_text(status).find("log unreachable") != std::string::npos);

    owner_document owner{service_id{"s"}, "k", slot_index{4}, true, server_id{"s1"},
                         {9, 2},          {},  "owned"};
    auto again = parse_owner(to_json_text(owner)).value();
    BOOST_TEST((again.server == owner.server));
    BOOST_TEST((again.epoch == owner.epoch));
    BOOST_TEST(!again.dispatcher.has_value());

    histograms_document histograms{
        {{"latency", tenant_id{"t"}, "bulk", 3, 1.5, 0.5, 0.6, 0.7, 0.8, {{1, 2}, {2, 1}}}}};
    auto histogram_json = to_json_text(histograms);
    BOOST_TEST(to_json_text(parse_histograms(histogram_json).value()) == histogram_json);
}

// Guards against a crash when the response comes from a process other than an instance.
BOOST_AUTO_TEST_CASE(are_rejected_when_they_are_malformed)
{
    for (const auto* text : {"", "[]", "{}", "null", "{\"service\":1}",
                             R"({"service":"s","key":"k","slot":1,"split":false,"server":null,
                                 "epoch":"x","dispatcher":null,"state":"owned"})"}) {
        BOOST_TEST(parse_status(text).has_error(), text);
        BOOST_TEST(parse_owner(text).has_error(), text);
        BOOST_TEST(parse_histograms(text).has_error(), text);
    }
    BOOST_TEST(encode_query("a b/\xc3&") == "a%20b%2F%C3%26");
}

BOOST_AUTO_TEST_SUITE_END()
