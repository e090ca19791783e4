#include "cli/config_commands.h"

#include "cli/config_edits.h"
#include "cli/platform_session.h"
#include "config/configuration_change.h"
#include "config/configuration_reader.h"
#include "config/configuration_writer.h"
#include "config/units.h"

namespace cornelswitch {

namespace {

using nlohmann::json;
using session_body = std::function<exit_code(platform_session&)>;

auto with_platform(const command_context& context, const session_body& body) -> exit_code
{
    auto address = parse_endpoint(context.option_value("platform"));
    if (!address) {
        return context.usage_error("--platform: found \"" + context.option_value("platform") +
                                   "\", allowed: IPv4:PORT");
    }
    platform_session session{*address};
    return body(session);
}

auto report_problems(const command_context& context, const std::vector<config_problem>& problems)
    -> exit_code
{
    auto list = json::array();
    for (const auto& it : problems) {
        list.push_back({{"file", it.file},
                        {"line", it.line},
                        {"field", it.field},
                        {"found", it.found},
                        {"allowed", it.allowed}});
    }
    context.print({{"problems", list}}, to_text(problems));
    return exit_code::usage;
}

auto check_file(const command_context& context) -> exit_code
{
    auto value = read_configuration_file(context.option_value("file"));
    if (value.has_error()) {
        return report_problems(context, value.error());
    }
    std::size_t servers = 0;
    for (const auto& it : value.value().services) {
        servers += it.servers.size();
    }
    context.print({{"problems", json::array()}},
                  "valid: " + std::to_string(value.value().zones.size()) + " zones, " +
                      std::to_string(value.value().services.size()) + " services, " +
                      std::to_string(servers) + " servers\n");
    return exit_code::ok;
}

auto writer_text(const record_header& writer) -> std::string
{
    return writer.writer.value() + "/" + std::to_string(writer.boot.value()) + "/" +
           std::to_string(writer.sequence.value());
}

auto report_conflict(const command_context& context, const publish_outcome& outcome) -> exit_code
{
    auto version = outcome.version.value();
    auto writer = writer_text(outcome.version_writer);
    auto plain = "not published: version " + std::to_string(version) + " is current (written by " +
                 writer + ")\n";
    context.print({{"published", false}, {"version", version}, {"writer", writer}}, plain);
    return exit_code::conflict;
}

auto publish_value(const command_context& context, config_client& client,
                   const configuration& value) -> exit_code
{
    auto read = client.refresh();
    if (read.has_error()) {
        return context.fail(read.error());
    }
    auto expected = client.version();
    if (context.has("expect")) {
        expected = config_version{context.arguments()["expect"].as<std::uint64_t>()};
    }
    if (expected != client.version()) {
        return report_conflict(context, {false, client.version(), client.current_writer()});
    }
    auto current = client.current();
    auto reasons =
        current.has_error() ? std::vector<std::string>{} : check_change(current.value(), value);
    for (const auto& it : reasons) {
        context.usage_error(it);
    }
    if (!reasons.empty()) {
        return exit_code::usage;
    }
    auto outcome = client.publish(write_configuration(value), expected);
    if (outcome.has_error()) {
        return context.fail(outcome.error());
    }
    if (!outcome.value().published) {
        return report_conflict(context, outcome.value());
    }
    auto version = outcome.value().version.value();
    context.print({{"published", true}, {"version", version}},
                  "published version " + std::to_string(version) + "\n");
    return exit_code::ok;
}

auto publish_file(const command_context& context) -> exit_code
{
    auto value = read_configuration_file(context.option_value("file"));
    if (value.has_error()) {
        return report_problems(context, value.error());
    }
    return with_platform(context, [&](platform_session& session) {
        return publish_value(context, session.config(), value.value());
    });
}

auto show(const command_context& context) -> exit_code
{
    return with_platform(context, [&](platform_session& session) {
        auto read = session.config().refresh();
        if (read.has_error()) {
            return context.fail(read.error());
        }
        auto version = session.config().version().value();
        if (version == 0) {
            return context.fail(
                {error_code::not_found, "config-show", "", "no configuration is published"});
        }
        const auto& text = session.config().text();
        context.print({{"version", version}, {"text", text}},
                      "# version " + std::to_string(version) + "\n" + text);
        return exit_code::ok;
    });
}

using edit_callback = std::function<result<bool>(configuration&, const command_context&)>;

/// Makes a command that edits the current configuration and publishes the result.
auto edit_command(std::string name, const std::string& positional, std::string description,
                  edit_callback callback) -> command
{
    auto run = [callback = std::move(callback)](const command_context& context) {
        return with_platform(context, [&](platform_session& session) {
            auto changed = false;
            auto version = session.config().edit([&](configuration& value) -> result<bool> {
                auto edited = callback(value, context);
                changed = edited.has_value() && edited.value();
                return edited;
            });
            if (version.has_error()) {
                return context.fail(version.error());
            }
            auto number = version.value().value();
            context.print({{"changed", changed}, {"version", number}},
                          (changed ? "published version " : "no change needed in version ") +
                              std::to_string(number) + "\n");
            return exit_code::ok;
        });
    };
    return {std::move(name), {positional}, std::move(description), {}, std::move(run)};
}

auto add_expect(cxxopts::Options& options) -> void
{
    options.add_options()("expect",
                          "publish only when this version is current (default: the one just read)",
                          cxxopts::value<std::uint64_t>());
}

auto add_stopped(cxxopts::Options& options) -> void
{
    options.add_options()("stopped", "state that nothing in the zone runs any more, so that "
                                     "its keys may be taken over immediately");
}

auto zone_and_instance_commands() -> std::vector<command>
{
    auto zone_out =
        edit_command("zone out", "zone", "Take an availability zone out of service.",
                     [](configuration& value, const command_context& context) {
                         return take_zone_out(value, zone_id{context.option_value("zone")},
                                              context.has("stopped"));
                     });
    zone_out.add_options = add_stopped;
    return {zone_out,
            edit_command("zone in", "zone", "Return an availability zone to service.",
                         [](configuration& value, const command_context& context) {
                             return return_zone(value, zone_id{context.option_value("zone")});
                         }),
            edit_command("instance out", "id", "Take an instance out of service.",
                         [](configuration& value, const command_context& context) {
                             return take_instance_out(value,
                                                      instance_id{context.option_value("id")});
                         }),
            edit_command("instance in", "id", "Return an instance to service.",
                         [](configuration& value, const command_context& context) {
                             return return_instance(value, instance_id{context.option_value("id")});
                         })};
}

auto server_commands() -> std::vector<command>
{
    return {edit_command("server drain", "id",
                         "Send no new requests to a backend server; requests in progress finish.",
                         [](configuration& value, const command_context& context) {
                             return drain_server(value, server_id{context.option_value("id")});
                         }),
            edit_command("server resume", "id", "Return a drained backend server to service.",
                         [](configuration& value, const command_context& context) {
                             return resume_server(value, server_id{context.option_value("id")});
                         })};
}

} // namespace

auto config_commands() -> std::vector<command>
{
    std::vector<command> out{
        {"config check", {"file"}, "Check a configuration file.", {}, check_file},
        {"config publish",
         {"file"},
         "Publish a configuration file, unless another version has become current.",
         add_expect,
         publish_file},
        {"config show", {}, "Print the published configuration.", {}, show}};
    for (auto& it : zone_and_instance_commands()) {
        out.push_back(std::move(it));
    }
    for (auto& it : server_commands()) {
        out.push_back(std::move(it));
    }
    return out;
}

} // namespace cornelswitch
