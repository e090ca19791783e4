#pragma once

#include "config/config_problem.h"
#include "config/units.h"
#include "core/clock.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cornelswitch {

/// Collects the problems of one file.
struct problem_list {
    std::string file;
    std::vector<config_problem> items;
};

/// A field of a YAML document with its path. The `read` functions check type and range. If a check
/// fails, they report a problem and leave the target unchanged, so that one pass finds all
/// problems.
class yaml_field {
public:
    yaml_field(problem_list& problems, YAML::Node node, std::string path);

    /// Reports a problem with this field and describes its value as the one found.
    auto report(std::string_view allowed) const -> void;
    /// Reports a problem with this field, with `found` as the description of what was found.
    auto report_found(std::string_view found, std::string_view allowed) const -> void;

    /// Reports unknown and duplicate keys of a map. Returns false, after a report, only if this is
    /// not a map.
    auto check_map(const std::vector<std::string_view>& names) const -> bool;
    /// Field of a map; null if it is missing, which is reported if `is_required`.
    auto child(std::string_view name, bool is_required = false) const -> std::optional<yaml_field>;
    /// Calls `handler` for each element of a list. If this is not a list of `min` to `max`
    /// elements, it is reported and `handler` is not called.
    auto each(std::size_t min, std::size_t max,
              const std::function<void(const yaml_field&)>& handler) const -> void;

    /// Text of a scalar; null, without a report, if this is not a scalar.
    auto scalar() const -> std::optional<std::string>;
    /// See `is_valid_name`.
    auto read_name(std::string& target) const -> void;
    auto read_integer(std::uint64_t min, std::uint64_t max, std::uint64_t& target) const -> void;
    auto read_real(double min, double max, double& target) const -> void;
    auto read_bool(bool& target) const -> void;
    auto read_duration(duration min, duration max, duration& target) const -> void;
    auto read_size(std::uint64_t min, std::uint64_t max, std::uint64_t& target) const -> void;
    /// The address 0.0.0.0 is accepted only if `allow_any` is set.
    auto read_endpoint(bool allow_any, endpoint& target) const -> void;

    /// Line number, counted from 1.
    auto line() const -> int { return node_.Mark().line + 1; }
    /// Path from the root of the document; empty for the root.
    auto path() const -> const std::string& { return path_; }

private:
    auto child_path(std::string_view name) const -> std::string;

    problem_list& problems_;
    YAML::Node node_;
    std::string path_;
};

/// Maximum size of a YAML text, in bytes.
inline constexpr std::size_t max_yaml_bytes = 4U << 20U;

/// Parses `text` and calls `reader` with the root of the document. Syntax errors and exceptions of
/// `reader` become problems; this function never throws.
auto read_yaml(std::string_view text, problem_list& problems,
               const std::function<void(const yaml_field&)>& reader) -> void;

/// Contents of a file, or one problem if it cannot be read or is too large.
auto read_file(const std::string& path) -> checked<std::string>;

} // namespace cornelswitch
