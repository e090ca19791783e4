#include "cli/command.h"

#include <algorithm>
#include <sstream>

namespace cornelswitch {

namespace {

auto dump(const nlohmann::json& value) -> std::string
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto command_context::print(const nlohmann::json& value, const std::string& plain) const -> void
{
    out_ << (wants_json() ? dump(value) + "\n" : plain) << std::flush;
}

auto command_context::fail(const error& cause) const -> exit_code
{
    if (wants_json()) {
        err_ << dump({{"error",
                       {{"code", to_string(cause.code)},
                        {"step", cause.step},
                        {"peer", cause.peer},
                        {"message", cause.message}}}})
             << '\n';
    } else {
        err_ << cause << '\n';
    }
    return exit_code_of(cause.code);
}

auto command_context::usage_error(const std::string& message) const -> exit_code
{
    return fail({error_code::invalid_argument, "command-line", "", message});
}

auto format_table(const std::vector<std::vector<std::string>>& rows) -> std::string
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::ostringstream out;
    for (const auto& row : rows) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            auto is_last = n + 1 == row.size();
            auto padding = is_last ? 0 : widths[n] - row[n].size() + gap;
            out << row[n] << std::string(padding, ' ');
        }
        out << '\n';
    }
    return out.str();
}

} // namespace cornelswitch
