#include "cli/tool.h"

#include "cli/config_commands.h"
#include "cli/instance_commands.h"
#include "cli/log_commands.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr auto program = "cornelswitch";
constexpr auto exit_code_help = R"(
Exit codes:
  0  done
  1  the operation failed
  2  invalid command line, settings or configuration
  3  another change was published first; the output names the current version
  4  the platform or the instance cannot be reached

Run `cornelswitch COMMAND --help` for the options of a command.
)";

auto all_commands() -> std::vector<command>
{
    auto out = config_commands();
    for (auto list : {instance_commands(), log_commands()}) {
        std::move(list.begin(), list.end(), std::back_inserter(out));
    }
    return out;
}

auto synopsis(const command& it) -> std::string
{
    auto out = it.name;
    for (const auto& name : it.positionals) {
        out += " ";
        std::transform(name.begin(), name.end(), std::back_inserter(out),
                       [](char c) { return static_cast<char>(std::toupper(c)); });
    }
    return out;
}

/// Help on the commands whose first word is `prefix`, or on all when it is empty. Empty when there
/// are none.
auto overview(const std::vector<command>& commands, const std::string& prefix) -> std::string
{
    std::vector<std::vector<std::string>> rows;
    for (const auto& it : commands) {
        if (prefix.empty() || it.name.starts_with(prefix + " ")) {
            rows.push_back({"  " + synopsis(it), it.description});
        }
    }
    if (rows.empty()) {
        return "";
    }
    return std::string{"Usage: "} + program + " COMMAND [OPTION...]\n\nCommands:\n" +
           format_table(rows) + exit_code_help;
}

/// The command that `words` starts with; null when there is none.
auto find_command(const std::vector<command>& commands, const std::vector<std::string>& words)
    -> const command*
{
    auto one = words.empty() ? "" : words[0];
    auto two = words.size() < 2 ? one : one + " " + words[1];
    auto it = std::find_if(commands.begin(), commands.end(), [&](const command& candidate) {
        return candidate.name == one || candidate.name == two;
    });
    return it == commands.end() ? nullptr : &*it;
}

auto make_options(const command& it) -> cxxopts::Options
{
    cxxopts::Options out{program, it.description};
    out.custom_help(synopsis(it) + " [OPTION...]");
    out.positional_help("");
    out.add_options()("platform", "address of the platform",
                      cxxopts::value<std::string>()->default_value("127.0.0.1:7700"))(
        "instance", "operator address of an instance",
        cxxopts::value<std::string>()->default_value("127.0.0.1:8083"))(
        "output", "table or json",
        cxxopts::value<std::string>()->default_value("table"))("help", "print this text");
    if (it.add_options) {
        it.add_options(out);
    }
    for (const auto& name : it.positionals) {
        out.add_options("positional")(name, "", cxxopts::value<std::string>());
    }
    out.parse_positional(it.positionals);
    return out;
}

/// Description of the first invalid argument; empty when all are valid.
auto argument_error(const command& it, const cxxopts::ParseResult& arguments) -> std::string
{
    if (!arguments.unmatched().empty()) {
        return "unexpected argument " + arguments.unmatched().front();
    }
    for (const auto& name : it.positionals) {
        if (arguments.count(name) == 0) {
            return "missing argument " + name + "; usage: " + synopsis(it);
        }
    }
    auto output = arguments["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return "--output: found \"" + output + "\", allowed: table or json";
    }
    return "";
}

auto run_command(const command& it, const std::vector<std::string>& words, std::ostream& out,
                 std::ostream& err) -> exit_code
{
    auto options = make_options(it);
    auto name_words = it.name.find(' ') == std::string::npos ? 1 : 2;
    std::vector<const char*> argv{program};
    for (auto n = static_cast<std::size_t>(name_words); n < words.size(); ++n) {
        argv.push_back(words[n].c_str());
    }
    auto arguments = options.parse(static_cast<int>(argv.size()), argv.data());
    if (arguments.count("help") > 0) {
        out << options.help({""}) << exit_code_help;
        return exit_code::ok;
    }
    auto message = argument_error(it, arguments);
    if (!message.empty()) {
        err << message << '\n';
        return exit_code::usage;
    }
    return it.run(command_context{arguments, out, err});
}

} // namespace

auto run_tool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err)
    -> exit_code
{
    auto commands = all_commands();
    const auto* found = find_command(commands, words);
    if (found == nullptr) {
        auto wants_help = std::find(words.begin(), words.end(), "--help") != words.end();
        auto is_option = words.empty() || words[0].starts_with("-");
        auto text = overview(commands, is_option ? "" : words[0]);
        auto& target = wants_help && !text.empty() ? out : err;
        target << (text.empty() ? "unknown command " + words[0] + "; see cornelswitch --help\n"
                                : text);
        return wants_help && !text.empty() ? exit_code::ok : exit_code::usage;
    }
    try {
        return run_command(*found, words, out, err);
    } catch (const cxxopts::exceptions::exception& ex) {
        err << ex.what() << '\n';
        return exit_code::usage;
    }
}

} // namespace cornelswitch
