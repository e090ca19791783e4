#include "config/yaml_field.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

namespace cornelswitch {

namespace {

constexpr std::size_t max_quoted_bytes = 80;
/// Maximum number of problems that are reported for one file. A file of another kind could cause
/// one in every line.
constexpr std::size_t max_problems = 200;

auto quote_text(std::string_view text) -> std::string
{
    std::string out{"\""};
    for (auto c : text.substr(0, max_quoted_bytes)) {
        auto is_printable = static_cast<unsigned char>(c) >= 0x20 && c != 0x7f;
        out += is_printable ? c : '?';
    }
    out += text.size() > max_quoted_bytes ? "...\"" : "\"";
    return out;
}

auto describe(const YAML::Node& node) -> std::string
{
    switch (node.Type()) {
    case YAML::NodeType::Null:
        return "nothing";
    case YAML::NodeType::Scalar:
        return quote_text(node.Scalar());
    case YAML::NodeType::Sequence:
        return "a list of " + std::to_string(node.size());
    case YAML::NodeType::Map:
        return "a map";
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

auto add_problem(problem_list& problems, config_problem problem) -> void
{
    if (problems.items.size() < max_problems) {
        problems.items.push_back(std::move(problem));
    }
}

auto joined(const std::vector<std::string_view>& names) -> std::string
{
    std::string out;
    for (const auto& it : names) {
        out += out.empty() ? "" : ", ";
        out += it;
    }
    return out;
}

template<typename type>
auto parse_number(const std::string& text) -> std::optional<type>
{
    type n{};
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || rest != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

} // namespace

yaml_field::yaml_field(problem_list& problems, YAML::Node node, std::string path)
    : problems_{problems}, node_{std::move(node)}, path_{std::move(path)}
{
}

auto yaml_field::report(std::string_view allowed) const -> void
{
    report_found(describe(node_), allowed);
}

auto yaml_field::report_found(std::string_view found, std::string_view allowed) const -> void
{
    add_problem(problems_,
                {problems_.file, line(), path_, std::string{found}, std::string{allowed}});
}

auto yaml_field::child_path(std::string_view name) const -> std::string
{
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

auto yaml_field::check_map(const std::vector<std::string_view>& names) const -> bool
{
    if (!node_.IsMap()) {
        report("a map with the fields " + joined(names));
        return false;
    }
    std::set<std::string> seen;
    for (const auto& it : node_) {
        auto name = it.first.IsScalar() ? it.first.Scalar() : std::string{"?"};
        auto key = yaml_field{problems_, it.first, child_path(quote_text(name))};
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            key.report_found("unknown field", "one of " + joined(names));
        } else if (!seen.insert(name).second) {
            key.report_found("the field a second time", "each field once");
        }
    }
    return true;
}

auto yaml_field::child(std::string_view name, bool is_required) const -> std::optional<yaml_field>
{
    for (const auto& it : node_) {
        if (it.first.IsScalar() && it.first.Scalar() == name) {
            return yaml_field{problems_, it.second, child_path(name)};
        }
    }
    if (is_required) {
        add_problem(problems_,
                    {problems_.file, line(), child_path(name), "nothing", "a value (required)"});
    }
    return std::nullopt;
}

auto yaml_field::each(std::size_t min, std::size_t max,
                      const std::function<void(const yaml_field&)>& handler) const -> void
{
    auto n = node_.IsSequence() ? node_.size() : 0;
    if (!node_.IsSequence() || n < min || n > max) {
        report("a list of " + std::to_string(min) + " to " + std::to_string(max) + " elements");
        return;
    }
    std::size_t index = 0;
    for (const auto& it : node_) {
        const YAML::Node& element = it;
        handler(yaml_field{problems_, element, path_ + "[" + std::to_string(index++) + "]"});
    }
}

auto yaml_field::scalar() const -> std::optional<std::string>
{
    return node_.IsScalar() ? std::optional{node_.Scalar()} : std::nullopt;
}

auto yaml_field::read_name(std::string& target) const -> void
{
    auto text = scalar();
    if (!text || !is_valid_name(*text)) {
        report("1 to 64 characters of A-Z a-z 0-9 . _ -, first a letter or digit");
        return;
    }
    target = *text;
}

auto yaml_field::read_integer(std::uint64_t min, std::uint64_t max, std::uint64_t& target) const
    -> void
{
    auto n = parse_number<std::uint64_t>(scalar().value_or(""));
    if (!n || *n < min || *n > max) {
        report("an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    target = *n;
}

auto yaml_field::read_real(double min, double max, double& target) const -> void
{
    auto n = parse_number<double>(scalar().value_or(""));
    if (!n || !std::isfinite(*n) || *n < min || *n > max) {
        std::ostringstream allowed;
        allowed << "a number from " << min << " to " << max;
        report(allowed.str());
        return;
    }
    target = *n;
}

auto yaml_field::read_bool(bool& target) const -> void
{
    auto text = scalar().value_or("");
    if (text != "true" && text != "false") {
        report("true or false");
        return;
    }
    target = text == "true";
}

auto yaml_field::read_duration(duration min, duration max, duration& target) const -> void
{
    auto value = parse_duration(scalar().value_or(""));
    if (!value || *value < min || *value > max) {
        report("a duration with unit (us, ms, s, min, h) from " + duration_text(min) + " to " +
               duration_text(max));
        return;
    }
    target = *value;
}

auto yaml_field::read_size(std::uint64_t min, std::uint64_t max, std::uint64_t& target) const
    -> void
{
    auto value = parse_size(scalar().value_or(""));
    if (!value || *value < min || *value > max) {
        report("a size in bytes or with unit (KiB, MiB, GiB) from " + size_text(min) + " to " +
               size_text(max));
        return;
    }
    target = *value;
}

auto yaml_field::read_endpoint(bool allow_any, endpoint& target) const -> void
{
    auto value = parse_endpoint(scalar().value_or(""));
    if (!value || (!allow_any && value->address == "0.0.0.0")) {
        report(allow_any ? "IPv4:PORT with a port from 1 to 65535"
                         : "IPv4:PORT with a port from 1 to 65535 and an address other than "
                           "0.0.0.0");
        return;
    }
    target = *value;
}

auto read_yaml(std::string_view text, problem_list& problems,
               const std::function<void(const yaml_field&)>& reader) -> void
{
    if (text.size() > max_yaml_bytes) {
        add_problem(problems, {problems.file, 0, "", size_text(text.size()),
                               "a file of at most " + size_text(max_yaml_bytes)});
        return;
    }
    try {
        reader(yaml_field{problems, YAML::Load(std::string{text}), ""});
    } catch (const YAML::Exception& ex) {
        add_problem(problems,
                    {problems.file, ex.mark.line + 1, "", quote_text(ex.msg), "valid YAML"});
    } catch (const std::exception& ex) {
        add_problem(problems, {problems.file, 0, "", quote_text(ex.what()), "valid YAML"});
    }
}

auto read_file(const std::string& path) -> checked<std::string>
{
    std::ifstream in{path, std::ios::binary};
    std::string text(max_yaml_bytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (!in.is_open() || in.bad()) {
        return std::vector{config_problem{path, 0, "", "no readable file", "a readable file"}};
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > max_yaml_bytes) {
        return std::vector{config_problem{path, 0, "", "a larger file",
                                          "a file of at most " + size_text(max_yaml_bytes)}};
    }
    return text;
}

} // namespace cornelswitch
