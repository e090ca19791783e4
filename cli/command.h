#pragma once

#include "cli/exit_code.h"
#include "config/configuration.h"
#include "core/error.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace cornelswitch {

/// Arguments and output streams of one command.
class command_context {
public:
    command_context(const cxxopts::ParseResult& arguments, std::ostream& out, std::ostream& err)
        : arguments_{arguments}, out_{out}, err_{err}
    {
    }

    auto arguments() const -> const cxxopts::ParseResult& { return arguments_; }
    /// Value of an option or a positional argument. Throws when it is absent and has no default.
    auto option_value(const std::string& name) const -> std::string
    {
        return arguments_[name].as<std::string>();
    }
    auto has(const std::string& name) const -> bool { return arguments_.count(name) > 0; }
    auto wants_json() const -> bool { return option_value("output") == "json"; }
    auto out() const -> std::ostream& { return out_; }

    /// Prints `value` as one line of JSON with `--output json`, otherwise `plain` as it is.
    auto print(const nlohmann::json& value, const std::string& plain) const -> void;
    /// Prints an error (as JSON `{"error":{...}}` with `--output json`) and returns its exit code.
    auto fail(const error& cause) const -> exit_code;
    /// Prints `message` as an error of the command line and returns the exit code of usage errors.
    auto usage_error(const std::string& message) const -> exit_code;

private:
    const cxxopts::ParseResult& arguments_;
    std::ostream& out_;
    std::ostream& err_;
};

/// A command of the command-line tool.
struct command {
    /// One or two words, for example `config publish`.
    std::string name;
    /// Names of the positional arguments, all of them required.
    std::vector<std::string> positionals;
    std::string description;
    /// Adds the command's own options; empty when it has none.
    std::function<void(cxxopts::Options&)> add_options;
    std::function<exit_code(const command_context&)> run;
};

/// Formats left-aligned columns. The first row is the heading.
auto format_table(const std::vector<std::vector<std::string>>& rows) -> std::string;

} // namespace cornelswitch
